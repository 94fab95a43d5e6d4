"""Checks of the recorded outcomes and runs against the guarantees of the system.

Each function returns one line per violation. The bounds come from docs/guarantees.md
and the users' requirements.
"""

import collections
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tests.processes.harness import LOOKUP, Result, Run

EVACUATION_DELAY_MAX_S = 5.0
READ_LAG_MAX_S = 2.0
FAULT_AFTERMATH_S = 3.0  # a fault that ended longer ago excuses no violation
RETRY_RESERVE = 10.0  # retries that a node may make before its first call
RETRY_SHARE = 0.2
PLANNED_KINDS = frozenset(("stop", "out", "reload"))  # these must fail no calls


@dataclass(slots=True, frozen=True)
class InjectedFault:
    """A fault and when it was in effect; times are monotonic.

    Attributes
    ----------
    target : str
        Process, proxy or failure domain.
    kind : str
    start_s, end_s : float
    """

    target: str
    kind: str
    start_s: float
    end_s: float


@dataclass(slots=True, frozen=True)
class Evacuation:
    """A failure domain that operators took out of service for a while.

    Attributes
    ----------
    domain : str
    accepted_s, return_requested_s : float
        When its removal was acknowledged, and when its return was requested.
    """

    domain: str
    accepted_s: float
    return_requested_s: float


@dataclass(slots=True, frozen=True)
class Edit:
    """An accepted edit of the settings tree.

    Attributes
    ----------
    version, value : int
    accepted_s : float
    """

    version: int
    value: int
    accepted_s: float


@dataclass(slots=True, frozen=True)
class Read:
    """A read of the settings tree.

    Attributes
    ----------
    version : int
    requested_s : float
    """

    version: int
    requested_s: float


def find_cut_requests(
    results: Iterable[Result],
    runs: Iterable[Run],
    faults: Sequence[InjectedFault],
    entries: dict[str, str],
) -> list[str]:
    """Return requests that a graceful stop of their entry node cut while they ran.

    A request that arrived after the node closed its port looks the same to its caller,
    as the proxy resets the connection, but no server ran it.

    Parameters
    ----------
    results : iterable of Result
    runs : iterable of Run
    faults : sequence of InjectedFault
    entries : dict of str to str
        Hosts of the entry nodes by node name.
    """
    stops = [
        fault for fault in faults if fault.kind == "stop" and fault.target in entries
    ]
    times_s = collections.defaultdict(list)
    for run in runs:
        times_s[run.key].append(run.time_s)
    unplanned = [fault for fault in faults if fault.kind not in PLANNED_KINDS]
    return [
        f"cut by the stop of {stop.target}: {result}"
        for stop in stops
        for result in results
        if result.entry == entries[stop.target] and result.reason == "cut"
        if stop.start_s <= result.ended_s <= stop.end_s
        if any(result.sent_s <= t <= result.ended_s for t in times_s[result.key])
        if not any(_overlaps(f, result.sent_s, result.ended_s) for f in unplanned)
    ]


def find_runs_in_evacuated_domains(
    runs: Iterable[Run],
    evacuations: Sequence[Evacuation],
    domains: dict[str, str],
    faults: Sequence[InjectedFault],
) -> list[str]:
    """Return runs that began long after their failure domain was taken out.

    Parameters
    ----------
    runs : iterable of Run
    evacuations : sequence of Evacuation
    domains : dict of str to str
        Failure domain of each server.
    faults : sequence of InjectedFault
        A frozen or cut off process may learn late that its domain is out, and run
        requests that it received before.
    """
    unplanned = [fault for fault in faults if fault.kind not in PLANNED_KINDS]
    return [
        f"ran in {evacuation.domain}, {run.time_s - evacuation.accepted_s:.1f} s after "
        f"it was taken out: {run}"
        for evacuation in evacuations
        for run in runs
        if domains.get(run.server) == evacuation.domain
        if evacuation.accepted_s + EVACUATION_DELAY_MAX_S
        < run.time_s
        < evacuation.return_requested_s
        if not any(_overlaps(f, evacuation.accepted_s, run.time_s) for f in unplanned)
    ]


def find_stale_reads(reads: Iterable[Read], edits: Sequence[Edit]) -> list[str]:
    """Return reads that lack an edit that was accepted well before the read."""
    return [
        f"read version {read.version} when {edit.version} had been accepted"
        for read in reads
        for edit in edits
        if edit.accepted_s + READ_LAG_MAX_S < read.requested_s
        if read.version < edit.version
    ]


def find_lost_edits(version: int, value: int, edits: Sequence[Edit]) -> list[str]:
    """Return a line if the settings at the end lack the newest accepted edit."""
    if not edits:
        return []
    newest = max(edits, key=lambda edit: edit.version)
    if version < newest.version:
        return [f"version {version} at the end, {newest.version} was accepted"]
    if version == newest.version and value != newest.value:
        return [f"value {value} at the end, {newest.value} was accepted"]
    return []


def find_excess_retries(runs: Iterable[Run], calls: int, node_starts: int) -> list[str]:
    """Return a line if there were more retries of lookups than the budget allows."""
    counts = collections.Counter(run.key for run in runs if run.path == LOOKUP)
    retries = sum(count - 1 for count in counts.values())
    allowed = RETRY_SHARE * calls + RETRY_RESERVE * node_starts
    if retries <= allowed:
        return []
    return [f"{retries} retries of {calls} calls, {allowed:.0f} are allowed"]


def _overlaps(fault, start_s, end_s):
    return fault.start_s <= end_s and fault.end_s + FAULT_AFTERMATH_S >= start_s
