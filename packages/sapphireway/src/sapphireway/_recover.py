"""The ``recover`` command: recovers a lost quorum from its last control host."""

import asyncio
import random
import sys
from pathlib import Path

from sapphireway._journal_folder import (
    get_journal_folder,
    make_journal_disk,
    make_journal_limits,
)
from sapphireway_state import (
    Invalid,
    JournalDamaged,
    NothingToRecover,
    ProcessSettings,
    Recovered,
    format_problem,
    load_process_settings,
    recover_as_sole_voter,
)
from sapphireway_transport import DiskFailed

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


def run_recovery(file: Path, confirmed: bool) -> int:
    """Recover the control host with the settings in `file`; return the exit code."""
    settings = load_process_settings(file)
    if isinstance(settings, Invalid):
        return _print_failure(EXIT_INVALID, *map(format_problem, settings.problems))
    if not settings.control:
        return _print_failure(
            EXIT_INVALID, f"{file}: control: false; this is no control host"
        )
    others = [host for host in settings.control_hosts if host != settings.address]
    if not confirmed:
        return _print_failure(
            EXIT_INVALID,
            f"{settings.address} would be the only voter of a new "
            "cluster. Data that only other hosts hold is lost, and these must never "
            "return with their disks: " + ", ".join(others),
            "Nothing was changed. Confirm with --yes-lose-the-others.",
        )
    folder = get_journal_folder(settings)
    if not folder.is_dir():
        return _print_failure(EXIT_FAILED, f"{folder}: no such folder")
    return asyncio.run(_recover(settings, others, folder))


async def _recover(settings: ProcessSettings, others, folder):
    disk = make_journal_disk(settings)
    try:
        # The first use locks the folder; it fails if the process is still running.
        names = await disk.list()
        if isinstance(names, DiskFailed):
            hint = "is the process still running?"
            return _print_failure(
                EXIT_FAILED, f"{folder} is in use: {names.detail}; {hint}"
            )
        outcome = await recover_as_sole_voter(
            disk,
            settings.address,
            others,
            random.Random(),
            make_journal_limits(settings),
        )
    finally:
        disk.close()
    if isinstance(outcome, Recovered):
        print(f"cluster id: {outcome.cluster_id}")
        print(f"last index: {outcome.last_index}")
        return EXIT_OK
    if isinstance(outcome, NothingToRecover):
        return _print_failure(EXIT_FAILED, f"{folder}: the host belongs to no cluster")
    return _print_failure(EXIT_FAILED, f"{folder}: {_describe_problem(outcome)}")


def _describe_problem(problem: JournalDamaged | DiskFailed):
    if isinstance(problem, JournalDamaged):
        return f"{problem.name} is damaged at byte {problem.offset}: {problem.detail}"
    return f"{problem.operation} {problem.name}: {problem.detail}"


def _print_failure(exit_code, *lines):
    for line in lines:
        print(line, file=sys.stderr)
    return exit_code
