"""The reports of all servers on one rollout, as a control host received them."""

import collections
from collections.abc import Iterable, Mapping

from sapphireway_coordination.rollouts._evidence import (
    LATENCY_BOUNDS_MS,
    KindStats,
    LatencyCounts,
    Sample,
    count_slow,
    find_slow_bound,
)
from sapphireway_protocol import KindCounts, VersionReport
from sapphireway_state import Rollout, VersionRole

RECENT_S = 2.0
REPORT_AGE_MAX_S = 1.0  # four reports; a server whose node is silent for longer is gone


class _History:
    """Reports of one start of a server's node.

    Attributes
    ----------
    latest : VersionReport
    received_s : float
    settings_version : int
        In force at the node when it sent the latest report.
    earlier : deque of (float, dict of str to KindCounts)
        Counts of the last seconds with the times of their arrival.
    """

    __slots__ = ("earlier", "latest", "received_s", "settings_version")

    def __init__(self):
        self.earlier = collections.deque()
        self.latest = None
        self.received_s = 0.0
        self.settings_version = 0

    def record(self, report, settings_version, now_s):
        self.latest = report
        self.received_s = now_s
        self.settings_version = settings_version
        self.earlier.append((now_s, report.kinds))
        # The last one that is old enough is the base of the recent counts.
        while len(self.earlier) > 1 and self.earlier[1][0] <= now_s - RECENT_S:
            self.earlier.popleft()

    def get_base(self, now_s):
        """Return the counts before the last seconds; empty if there were none."""
        base = {}
        for received_s, kinds in self.earlier:
            if received_s > now_s - RECENT_S:
                break
            base = kinds
        return base


class ReportLedger:
    """Cumulative counts of the servers in one rollout, by start of their nodes.

    A node that restarts counts from zero, so what its earlier start reported is kept.
    """

    __slots__ = ("_histories",)

    def __init__(self):
        self._histories = {}

    def record(
        self,
        report: VersionReport,
        incarnation: str,
        settings_version: int,
        now_s: float,
    ) -> None:
        """Record a report that arrived at loop time `now_s`."""
        key = report.server, report.version, incarnation
        history = self._histories.setdefault(key, _History())
        history.record(report, settings_version, now_s)

    def find_fresh(
        self, server: str, version: str, incarnation: str, now_s: float
    ) -> VersionReport | None:
        """Return the latest report of a server if it is recent."""
        history = self._histories.get((server, version, incarnation))
        if history is None or now_s - history.received_s > REPORT_AGE_MAX_S:
            return None
        return history.latest

    def is_idle(
        self,
        server: str,
        version: str,
        incarnation: str,
        settings_version: int,
        now_s: float,
    ) -> bool:
        """Return whether a server has no work and gets none.

        Parameters
        ----------
        server, version, incarnation : str
        settings_version : int
            With this version in force its node refuses all work.
        now_s : float
        """
        report = self.find_fresh(server, version, incarnation, now_s)
        if report is None or report.in_flight:
            return False
        history = self._histories[server, version, incarnation]
        return history.settings_version >= settings_version

    def make_samples(self, rollout: Rollout, now_s: float) -> tuple[Sample, Sample]:
        """Return the samples of the old and the new version."""
        totals = {VersionRole.OLD: {}, VersionRole.NEW: {}}
        recents = {VersionRole.OLD: {}, VersionRole.NEW: {}}
        for history in self._histories.values():
            role = rollout.get_role(history.latest.version)
            if role is VersionRole.EXCLUDED:
                continue
            base = history.get_base(now_s)
            for kind, counts in history.latest.kinds.items():
                totals[role].setdefault(kind, []).append(counts)
                recent = _subtract(counts, base.get(kind))
                recents[role].setdefault(kind, []).append(recent)
        bounds = {
            kind: find_slow_bound(_add_latencies(parts))
            for kind, parts in totals[VersionRole.OLD].items()
        }
        old, new = (
            Sample(_summarize(totals[role], bounds), _summarize(recents[role], bounds))
            for role in (VersionRole.OLD, VersionRole.NEW)
        )
        return old, new


def _subtract(counts, base):
    if base is None:
        return counts
    padding = [0] * (len(counts.latencies) - len(base.latencies))
    earlier = [*base.latencies, *padding]
    return KindCounts(
        max(0, counts.answers - base.answers),
        max(0, counts.failures - base.failures),
        [max(0, a - b) for a, b in zip(counts.latencies, earlier, strict=False)],
    )


def _summarize(
    kinds: Mapping[str, list[KindCounts]], bounds: Mapping[str, float | None]
) -> dict[str, KindStats]:
    summary = {}
    for kind, parts in kinds.items():
        answers = max(0, sum(counts.answers for counts in parts))
        failures = sum(counts.failures for counts in parts)
        slow = count_slow(_add_latencies(parts), bounds.get(kind))
        # The decision relies on these bounds, also if a report is malformed.
        summary[kind] = KindStats(
            answers, min(max(0, failures), answers), min(max(0, slow), answers)
        )
    return summary


def _add_latencies(parts: Iterable[KindCounts]) -> LatencyCounts:
    total = [0] * (len(LATENCY_BOUNDS_MS) + 1)
    for counts in parts:
        for bucket, count in enumerate(counts.latencies[: len(total)]):
            total[bucket] += count
    return total
