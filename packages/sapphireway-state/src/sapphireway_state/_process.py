"""Settings of one process: addresses, failure domain, data folder and roles."""

from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any

from sapphireway_state._problems import Invalid, Problem
from sapphireway_state._rules import (
    Rule,
    find_violation,
    format_value,
    make_address,
    make_boolean,
    make_choice,
    make_integer,
    make_list,
    make_name,
    make_pattern,
    suggest_name,
)
from sapphireway_state._yaml import parse_yaml, read_text

MIB = 1024 * 1024
JOURNAL_COMPACT_BYTES = 4 * MIB
JOURNAL_MAX_BYTES = 64 * MIB


@dataclass(slots=True, frozen=True)
class ProcessSettings:
    """Settings of one process.

    Attributes
    ----------
    address : str
        Where other nodes reach this one.
    http_address : str
        Where callers and servers reach this node; empty if none do.
    admin_address : str
        Where operators and metric collectors reach this node.
    domain : str
        Failure domain.
    region : str
        Region that the failure domain lies in.
    data_folder : str
        Folder of everything that this process keeps; empty if it has no disk.
    control_hosts : tuple of str
        Node addresses of the control hosts; each process finds the others by them.
    control : bool
        Whether this process is a control host.
    bootstrap : bool
        Whether this control host may found a new quorum with `control_hosts`.
    open_control : bool
        Whether hosts with the control role join the quorum by themselves, and give
        way when they are gone. Otherwise operators add and remove them.
    stop_grace_ms : int
        Time from the signal to stop until the process is killed; in it, callers that
        have not noticed yet are still served. 0 if it is never killed.
    retry_reserve : int
        Retries and hedges of a service that all nodes together may make beyond the
        share of its calls; each node keeps its part. 0 if every node has its own.
    server_url : str
        Base URL of the server beside this node, which is asked for its health at the
        start; "" if it has to announce itself first.
    server_service : str
        Service of that server.
    initial_tree : str or None
        File with the tree that a new quorum begins with.
    seed : int or None
        Seed of the process's random numbers; drawn at the start unless given.
    log_format : str
        One JSON object a line, or text.
    log_level : str
        Least severity that is logged.
    token_file : str or None
        File of mode 0600 with the operator's token.
    trace_file : str or None
        File that spans are written to.
    header_max_bytes : int
        Largest header section of a caller's request.
    claim_memory_max_bytes : int
        Memory for claims of idempotency keys above which no new key may run.
    journal_segment_bytes : int
        Size at which the journal begins a new file.
    journal_compact_bytes : int
        Size of the journal at which a snapshot is due.
    journal_max_bytes : int
        Size of the journal above which nothing more is accepted.
    """

    address: str
    http_address: str
    admin_address: str
    domain: str
    region: str
    data_folder: str
    control_hosts: tuple[str, ...]
    control: bool = False
    bootstrap: bool = False
    open_control: bool = False
    stop_grace_ms: int = 0
    retry_reserve: int = 0
    server_url: str = ""
    server_service: str = ""
    initial_tree: str | None = None
    seed: int | None = None
    log_format: str = "json"
    log_level: str = "info"
    token_file: str | None = None
    trace_file: str | None = None
    header_max_bytes: int = 65_536
    claim_memory_max_bytes: int = 8 * MIB
    journal_segment_bytes: int = MIB
    journal_compact_bytes: int = JOURNAL_COMPACT_BYTES
    journal_max_bytes: int = JOURNAL_MAX_BYTES


_PATH = make_pattern(
    r"[^\x00]{1,4096}", "path; a relative one begins at this file's folder"
)

_URL = make_pattern(r"http://[^/\s]{1,255}", "base URL, http://host:port")

PROCESS_RULES: dict[str, Rule] = {
    "address": make_address(),
    "http_address": make_address(),
    "admin_address": make_address(),
    "domain": make_name(),
    "region": make_name(),
    "data_folder": _PATH,
    "control_hosts": make_list(make_address(), 1, 7),
    "control": make_boolean(),
    "bootstrap": make_boolean(),
    "open_control": make_boolean(),
    "stop_grace_ms": make_integer(0, 600_000, "ms"),
    "retry_reserve": make_integer(0, 1_000_000),
    "server_url": _URL,
    "server_service": make_name(),
    "initial_tree": _PATH,
    "seed": make_integer(0, 2**63 - 1),
    "log_format": make_choice(("json", "text")),
    "log_level": make_choice(("debug", "info", "warning", "error")),
    "token_file": _PATH,
    "trace_file": _PATH,
    "header_max_bytes": make_integer(1_024, MIB, "bytes"),
    "claim_memory_max_bytes": make_integer(MIB, 16_384 * MIB, "bytes"),
    "journal_segment_bytes": make_integer(65_536, 1_024 * MIB, "bytes"),
    "journal_compact_bytes": make_integer(65_536, 1_024 * MIB, "bytes"),
    "journal_max_bytes": make_integer(4 * MIB, 16_384 * MIB, "bytes"),
}
"""Rules of all process settings by name."""

PROCESS_PATHS = ("data_folder", "initial_tree", "token_file", "trace_file")

REQUIRED_SETTINGS = tuple(
    field.name for field in fields(ProcessSettings) if field.default is MISSING
)


def check_process_settings(value: Any) -> list[Problem]:
    """Return all problems of process settings, given as plain data."""
    if not isinstance(value, dict):
        wrong = f"{format_value(value)} is not a mapping"
        return [Problem("", wrong, "a mapping with " + ", ".join(REQUIRED_SETTINGS))]
    problems = []
    for name, setting_value in value.items():
        problems.extend(_check_setting(name, setting_value))
    for name in REQUIRED_SETTINGS:
        if name not in value:
            allowed = PROCESS_RULES[name].allowed
            problems.append(Problem(name, "is missing", allowed))
    if not problems:
        problems.extend(_check_combinations(value))
    return problems


def parse_process_settings(
    text: str, file: str = "", folder: Path | None = None
) -> ProcessSettings | Invalid:
    """Parse and validate process settings.

    Parameters
    ----------
    text : str
    file : str
        File name for messages.
    folder : Path, default=current folder
        Base of relative paths.
    """
    document = parse_yaml(text, file)
    if isinstance(document, Invalid):
        return document
    problems = check_process_settings(document.value)
    if problems:
        return document.locate(problems)
    return _build_settings(document.value, folder or Path())


def load_process_settings(path: Path | str) -> ProcessSettings | Invalid:
    """Load and validate process settings from a YAML file."""
    text = read_text(path)
    if isinstance(text, Invalid):
        return text
    return parse_process_settings(text, str(path), Path(path).parent)


def _build_settings(value, folder):
    values = dict(value)
    for name in PROCESS_PATHS:
        if name in values:
            values[name] = str(folder / values[name])
    values["control_hosts"] = tuple(values["control_hosts"])
    return ProcessSettings(**values)


def _check_setting(name, setting_value):
    rule = PROCESS_RULES.get(name)
    if rule is None:
        allowed = "any of " + ", ".join(PROCESS_RULES)
        wrong = f"unknown key {format_value(name)}{suggest_name(name, PROCESS_RULES)}"
        yield Problem(str(name), wrong, allowed)
        return
    violation = find_violation(rule, setting_value)
    if violation is not None:
        yield Problem(name, violation, rule.allowed)


def _check_combinations(value):
    yield from _check_addresses(value)
    yield from _check_control(value)
    yield from _check_journal(value)


def _check_addresses(value):
    addresses = [value[name] for name in REQUIRED_SETTINGS[:3]]
    for index, name in enumerate(REQUIRED_SETTINGS[:3]):
        if value[name] in addresses[:index]:
            yield Problem(
                name, f"{value[name]!r} is in use above", "an address of its own"
            )


def _check_control(value):
    is_listed = value["address"] in value["control_hosts"]
    if value.get("control") and not value.get("open_control") and not is_listed:
        yield Problem(
            "control_hosts",
            f"lacks this control host's own address {value['address']!r}",
            "the addresses of all control hosts, this one's too",
        )
    if value.get("bootstrap") and not value.get("control"):
        yield Problem("bootstrap", "is set on a node that is no control host", "false")


def _check_journal(value):
    compact = value.get("journal_compact_bytes", JOURNAL_COMPACT_BYTES)
    if compact > value.get("journal_max_bytes", JOURNAL_MAX_BYTES) // 2:
        yield Problem(
            "journal_compact_bytes",
            f"{compact} is more than half of journal_max_bytes",
            "at most half of journal_max_bytes",
        )
