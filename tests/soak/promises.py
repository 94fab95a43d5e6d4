"""What callers and servers saw, held against what the system promises.

Each function returns one line for each broken promise; bounds come from the promises
(docs/guarantees.md) and the users' sheets.
"""

import collections
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tests.processes.harness import LOOKUP, Result, Run

EVACUATION_MAX_S = 5.0
READ_LAG_MAX_S = 2.0
SETTLED_BEFORE_S = 3.0  # a fault that ended longer ago explains no cut request
RETRY_RESERVE = 10.0  # retries that a node may make before it has had any calls
RETRY_SHARE = 0.2
PLANNED = frozenset(("stop", "out", "reload"))  # work that must harm nobody


@dataclass(slots=True, frozen=True)
class Harm:
    """A fault and how long it lasted; times are of the machine's monotonic clock.

    Attributes
    ----------
    name : str
        Process, or proxy, that was hit.
    kind : str
    start_s, end_s : float
    """

    name: str
    kind: str
    start_s: float
    end_s: float


@dataclass(slots=True, frozen=True)
class Outage:
    """A failure domain that operators had out.

    Attributes
    ----------
    domain : str
    accepted_s, back_s : float
        When it was acknowledged, and when it was asked for again.
    """

    domain: str
    accepted_s: float
    back_s: float


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
    asked_s : float
    """

    version: int
    asked_s: float


def find_cut_requests(
    results: Iterable[Result],
    runs: Iterable[Run],
    harms: Sequence[Harm],
    entries: dict[str, str],
) -> list[str]:
    """Return requests that were running when a planned stop of their entry cut them.

    A request that came when nobody listened any more looks the same to its caller, as
    the proxy before the entry resets it; but no server ran it.

    Parameters
    ----------
    results : iterable of Result
    runs : iterable of Run
    harms : sequence of Harm
    entries : dict of str to str
        Host of each node by its name.
    """
    stops = [harm for harm in harms if harm.kind == "stop" and harm.name in entries]
    times_s = collections.defaultdict(list)
    for run in runs:
        times_s[run.key].append(run.time_s)
    unplanned = [harm for harm in harms if harm.kind not in PLANNED]
    return [
        f"cut by the stop of {stop.name}: {result}"
        for stop in stops
        for result in results
        if result.entry == entries[stop.name] and result.reason == "cut"
        if stop.start_s <= result.ended_s <= stop.end_s
        if any(result.sent_s <= t <= result.ended_s for t in times_s[result.key])
        if not any(_overlaps(h, result.sent_s, result.ended_s) for h in unplanned)
    ]


def find_evacuated_runs(
    runs: Iterable[Run],
    outages: Sequence[Outage],
    domains: dict[str, str],
    harms: Sequence[Harm],
) -> list[str]:
    """Return runs that began in a failure domain that had been out for long.

    Parameters
    ----------
    runs : iterable of Run
    outages : sequence of Outage
    domains : dict of str to str
        Failure domain of each server.
    harms : sequence of Harm
        A frozen or cut process may learn late, and run what it got before.
    """
    unplanned = [harm for harm in harms if harm.kind not in PLANNED]
    return [
        f"ran in {outage.domain}, {run.time_s - outage.accepted_s:.1f} s out: {run}"
        for outage in outages
        for run in runs
        if domains.get(run.server) == outage.domain
        if outage.accepted_s + EVACUATION_MAX_S < run.time_s < outage.back_s
        if not any(_overlaps(h, outage.accepted_s, run.time_s) for h in unplanned)
    ]


def find_old_reads(reads: Iterable[Read], edits: Sequence[Edit]) -> list[str]:
    """Return reads that are older than what had been accepted well before."""
    return [
        f"read version {read.version} when {edit.version} had been accepted"
        for read in reads
        for edit in edits
        if edit.accepted_s + READ_LAG_MAX_S < read.asked_s
        if read.version < edit.version
    ]


def find_lost_edits(version: int, value: int, edits: Sequence[Edit]) -> list[str]:
    """Return the newest accepted edit if the tree at the end does not hold it."""
    if not edits:
        return []
    newest = max(edits, key=lambda edit: edit.version)
    if version < newest.version:
        return [f"version {version} at the end, {newest.version} was accepted"]
    if version == newest.version and value != newest.value:
        return [f"value {value} at the end, {newest.value} was accepted"]
    return []


def find_surplus_attempts(
    runs: Iterable[Run], calls: int, entry_starts: int
) -> list[str]:
    """Return a line if repeatable requests were run more often than budgets allow."""
    counts = collections.Counter(run.key for run in runs if run.path == LOOKUP)
    extra = sum(count - 1 for count in counts.values())
    allowed = RETRY_SHARE * calls + RETRY_RESERVE * entry_starts
    if extra <= allowed:
        return []
    return [f"{extra} repeated runs of {calls} calls, {allowed:.0f} are allowed"]


def _overlaps(harm, start_s, end_s):
    return harm.start_s <= end_s and harm.end_s + SETTLED_BEFORE_S >= start_s
