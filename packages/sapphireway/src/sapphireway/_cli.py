"""Command line of the node."""

import sys
from pathlib import Path

from sapphireway import __version__

EXIT_OK = 0
EXIT_INVALID = 2
EXIT_FAILED = 1


def run(file: Path) -> int:
    """Run a node until it gets SIGTERM or SIGINT, then stop gracefully.

    Parameters
    ----------
    file : Path
        Process settings in YAML.

    Returns
    -------
    int
        0 after a graceful stop, 1 if the node failed to start, a background task
        failed or requests in flight did not end in time, 2 if the settings are
        invalid, 70 if an invariant was violated.
    """
    from sapphireway import _main

    return _main.run_process(file)


def check(file: Path) -> int:
    """Check a settings file and print every problem in it.

    Parameters
    ----------
    file : Path
        Process settings or a settings tree in YAML.

    Returns
    -------
    int
        0 if the file is valid, 2 if it isn't.
    """
    from sapphireway_state import check_file, format_problem

    problems = check_file(file)
    for problem in problems:
        print(format_problem(problem), file=sys.stderr)
    if problems:
        return EXIT_INVALID
    print(f"{file}: valid")
    return EXIT_OK


def recover(file: Path, *, yes_lose_the_others: bool = False) -> int:
    """Make a stopped control host the only voter of a new cluster.

    Use it only if more than half of the control hosts' disks are lost for good. Data
    that only those hosts held is lost, and they must never return with their disks.

    Parameters
    ----------
    file : Path
        Process settings of the surviving control host.
    yes_lose_the_others : bool
        Confirm that the data on the other hosts' disks is given up.

    Returns
    -------
    int
        0 if the host was recovered, 1 if its journal is missing, empty, in use,
        damaged or can't be read or written, 2 if the settings are invalid or the
        confirmation is missing.
    """
    from sapphireway._recover import run_recovery

    return run_recovery(file, yes_lose_the_others)


def main() -> None:
    """Run the command given on the command line."""
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "run" and arguments[1][0:1] != "-":
        # The parser's modules would stay in memory as long as the node runs.
        sys.exit(run(Path(arguments[1])))
    import defopt

    code = defopt.run(
        [run, check, recover],
        version=f"sapphireway {__version__}",
        no_negated_flags=True,
    )
    sys.exit(code)
