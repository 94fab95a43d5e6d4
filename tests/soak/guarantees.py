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
LIMIT_DELAY_MAX_S = 3.0  # from a server's first answer with a limit
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
DEPARTURE_DELAY_MAX_S = 2.0
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
class Limit:
    """A rate limit that a server set in its answers for a while.

    Attributes
    ----------
    server : str
    per_s, set_s, lifted_s : float
    """

    server: str
    per_s: float
    set_s: float
    lifted_s: float


@dataclass(slots=True, frozen=True)
class Departure:
    """A server that said in its answers that it leaves.

    Attributes
    ----------
    server : str
    said_s, stopped_s : float
        When it began to say so, and when it was asked to stop.
    """

    server: str
    said_s: float
    stopped_s: float


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


def find_runs_above_limits(
    runs: Iterable[Run],
    limits: Sequence[Limit],
    faults: Sequence[InjectedFault],
    nodes: dict[str, str],
) -> list[str]:
    """Return limits that were exceeded in some window well after they were set.

    Parameters
    ----------
    runs : iterable of Run
    limits : sequence of Limit
    faults : sequence of InjectedFault
        A fault of the server's node or of the link between them excuses it.
    nodes : dict of str to str
        Node beside each server.
    """
    violations = []
    for limit in limits:
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        most = _count_most(runs, limit)
        if most > allowed and not _is_disturbed(limit, faults, nodes):
            violations.append(
                f"{most} runs in a window, {allowed:.0f} allowed: {limit}"
            )
    return violations


def _count_most(runs, limit):
    known_s = limit.set_s + LIMIT_DELAY_MAX_S
    times_s = [
        run.time_s
        for run in runs
        if run.server == limit.server and known_s <= run.time_s <= limit.lifted_s
    ]
    counts = (sum(0 <= t - s < LIMIT_WINDOW_S for t in times_s) for s in times_s)
    return max(counts, default=0)


def _is_disturbed(limit, faults, nodes):
    names = (limit.server, nodes[limit.server], f"link to {limit.server}")
    return any(
        _overlaps(fault, limit.set_s, limit.lifted_s)
        for fault in faults
        if fault.target in names and fault.kind not in PLANNED_KINDS | {"limit"}
    )


def find_runs_after_departures(
    runs: Sequence[Run],
    departures: Sequence[Departure],
    faults: Sequence[InjectedFault],
    nodes: dict[str, str],
) -> list[str]:
    """Return runs that began well after an answer had said that the server leaves.

    Parameters
    ----------
    runs : sequence of Run
    departures : sequence of Departure
    faults : sequence of InjectedFault
        A fault of any node excuses it, as nodes that have restarted don't know.
    nodes : dict of str to str
        Node beside each server.
    """
    violations = []
    for departure in departures:
        later = sorted(
            run.time_s
            for run in runs
            if run.server == departure.server
            and departure.said_s <= run.time_s <= departure.stopped_s
        )
        late = [at_s for at_s in later if at_s > later[0] + DEPARTURE_DELAY_MAX_S]
        names = (departure.server, *nodes.values(), f"link to {departure.server}")
        disturbed = any(
            _overlaps(fault, departure.said_s, departure.stopped_s)
            for fault in faults
            if fault.target in names and fault.kind not in ("leave", "out", "reload")
        )
        if late and not disturbed:
            violations.append(f"{len(late)} runs after {departure}")
    return violations


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
