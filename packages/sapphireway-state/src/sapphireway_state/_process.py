"""Settings of one process: addresses, failure domain, data folder and roles."""

from pathlib import Path
from typing import Any

import msgspec

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
    make_number,
    make_pattern,
    suggest_name,
)

MIB = 1024 * 1024
JOURNAL_COMPACT_BYTES = 4 * MIB
JOURNAL_MAX_BYTES = 64 * MIB


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes
    ----------
    address : str
        Address at which other nodes reach this node.
    http_address : str
        Address at which callers reach this node; empty if none do.
    admin_address : str
        Address at which operators, metric collectors and the local server reach this
        node.
    domain : str
        Failure domain of this node.
    region : str
        Region of the failure domain.
    data_folder : str
        Folder of the process's persistent state; empty if it has no disk.
    control_hosts : tuple of str
        Node addresses of the control hosts, through which each process finds the
        other nodes.
    control : bool
        Whether this process is a control host.
    bootstrap : bool
        Whether this control host may bootstrap a new cluster with `control_hosts`.
    open_control : bool
        Whether control hosts join the quorum automatically, and are removed
        automatically when they stop responding. Otherwise operators add and remove
        them.
    control_losses_max : int
        Number of control hosts whose simultaneous loss, that of their disks too, is
        tolerated. Voters are removed automatically only as long as enough are left.
    stop_grace_ms : int
        Time from the stop signal until the process is killed; the node uses part of
        it to serve callers that have not yet learned of the stop. 0 if the process is
        never killed.
    retry_reserve : int
        Retries and hedges of a service that all nodes together may make in a burst
        beyond the percentage of its calls; divided equally among the nodes. If 0, each
        node has a fixed reserve of its own.
    cold_reserve_per_s : float
        Requests per second that a cold server may get beyond its rate.
    expects_keys : bool
        Whether routing tables may name workspaces. API keys are then never sent to
        servers, and a request with a key is not run by a table that may be out of date
        about all keys, such as one without workspaces.
    key_revocation_ms : int
        Time after the acknowledgement of a routing table after which requests with
        API keys that it removed are never run. A node without a recent proof that it
        has the newest table refuses requests with keys. 0 if no proof is needed.
    server_url : str
        Base URL of the local server, whose health the node queries at startup to
        register it; empty if the server must announce itself first. Announcements of
        another URL are refused.
    server_service : str
        Service of the server at `server_url`. Announcements of another service are
        refused.
    initial_tree : str or None
        File with the initial settings tree of a new cluster.
    seed : int or None
        Seed of the process's random number generator; chosen at random if not set.
    log_format : str
        Format of log lines: one JSON object per line, or text.
    log_level : str
        Minimum severity of logged events.
    token_file : str or None
        File with the operator's token; its mode must be 0600 or stricter.
    trace_file : str or None
        File to which trace spans are written.
    header_max_bytes : int
        Maximum size of the headers of a caller's request, while no routing table is
        in force; a routing table has its own limit.
    claim_memory_max_bytes : int
        Memory use by claims on idempotency keys at which calls with new keys are
        refused.
    memory_bytes : int
        Memory of the host that this process may use, from which the memory for
        requests follows; 0 takes all of the host's.
    descriptors_max : int
        Open descriptors, of which callers' connections get a half; 0 takes the limit
        of the process, which also bounds larger numbers.
    journal_segment_bytes : int
        Segment size at which the journal starts a new segment file.
    journal_compact_bytes : int
        Journal size at which a snapshot is due.
    journal_max_bytes : int
        Journal size above which no more entries are accepted.
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
    control_losses_max: int = 1
    stop_grace_ms: int = 0
    retry_reserve: int = 0
    cold_reserve_per_s: float = 0.0
    expects_keys: bool = False
    key_revocation_ms: int = 0
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
    memory_bytes: int = 0
    descriptors_max: int = 0
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
    "control_losses_max": make_integer(0, 10),
    "stop_grace_ms": make_integer(0, 600_000, "ms"),
    "retry_reserve": make_integer(0, 1_000_000),
    "cold_reserve_per_s": make_number(0, 1_000, "per second"),
    "expects_keys": make_boolean(),
    "key_revocation_ms": make_integer(0, 600_000, "ms"),
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
    "memory_bytes": make_integer(0, 2**50, "bytes"),
    "descriptors_max": make_integer(0, 2**30),
    "journal_segment_bytes": make_integer(65_536, 1_024 * MIB, "bytes"),
    "journal_compact_bytes": make_integer(65_536, 1_024 * MIB, "bytes"),
    "journal_max_bytes": make_integer(4 * MIB, 16_384 * MIB, "bytes"),
}
"""Rules of all process settings by name."""

PROCESS_PATHS = ("data_folder", "initial_tree", "token_file", "trace_file")

REQUIRED_SETTINGS = tuple(
    field.name for field in msgspec.structs.fields(ProcessSettings) if field.required
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
    # Imported here as adapters build the settings from other formats.
    from sapphireway_state._yaml import parse_yaml

    document = parse_yaml(text, file)
    if isinstance(document, Invalid):
        return document
    problems = check_process_settings(document.value)
    if problems:
        return document.locate(problems)
    return _build_settings(document.value, folder or Path())


def load_process_settings(path: Path | str) -> ProcessSettings | Invalid:
    """Load and validate process settings from a YAML file."""
    from sapphireway_state._yaml import read_text

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
