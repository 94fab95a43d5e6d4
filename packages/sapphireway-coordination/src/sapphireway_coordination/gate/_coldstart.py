"""Detection of servers that became cold again without announcing it."""

import collections
import statistics
from collections.abc import Iterable

from sapphireway_coordination.gate._events import RelapseCause

SHED_STATUSES = frozenset({429, 503})
SHED_WINDOW = 20
SHED_ANSWERS_MIN = 3
LATENCY_WINDOW = 5
LATENCY_JUMP_RATIO = 4.0
STALL_MIN_S = 0.05
STALL_MIN_REQUESTS = 2
STALL_CHECK_S = 0.02
KINDS_MAX = 256
BASELINE_RISE = 0.02
BASELINE_FALL = 0.1
BASELINE_STEP_MAX = 2.0
LATENCY_SMOOTHING = 0.1


class LatencyBaseline:
    """Smoothed response time of each request kind.

    It moves slowly and by bounded steps, so that a burst of slow answers stands out
    from it, while it adapts to a lasting change within about a hundred answers.
    """

    __slots__ = ("_baselines_s", "mean_s")

    def __init__(self):
        self._baselines_s = {}
        self.mean_s = 0.0

    def get(self, kind: str) -> float:
        """Return the baseline response time of `kind` in seconds, 0 if not known."""
        return self._baselines_s.get(kind, 0.0)

    def record(self, kind: str, latency_s: float) -> float:
        """Update the baseline and return the ratio of a response time to it."""
        latency_s = max(latency_s, 1e-6)
        rate = LATENCY_SMOOTHING if self.mean_s else 1.0
        self.mean_s += rate * (latency_s - self.mean_s)
        baseline_s = self._baselines_s.get(kind)
        if baseline_s is None:
            if len(self._baselines_s) < KINDS_MAX:
                self._baselines_s[kind] = latency_s
            return 1.0
        ratio = latency_s / baseline_s
        rate = BASELINE_RISE if ratio > 1.0 else BASELINE_FALL
        self._baselines_s[kind] += (
            rate * baseline_s * (min(ratio, BASELINE_STEP_MAX) - 1.0)
        )
        return ratio


class RelapseDetector:
    """Detects a relapse into a cold start from the latest answers."""

    __slots__ = ("_ratios", "_sheds")

    def __init__(self):
        self._sheds = collections.deque(maxlen=SHED_WINDOW)
        self._ratios = collections.deque(maxlen=LATENCY_WINDOW)

    def reset(self) -> None:
        """Discard all answers after a relapse was detected."""
        self._sheds.clear()
        self._ratios.clear()

    def record(self, latency_ratio: float, shed: bool) -> RelapseCause | None:
        """Add one answer and return the cause of a relapse, if one is detected."""
        self._sheds.append(shed)
        if sum(self._sheds) >= SHED_ANSWERS_MIN:
            return RelapseCause.SHEDDING
        if shed:
            return None
        self._ratios.append(latency_ratio)
        if len(self._ratios) < LATENCY_WINDOW:
            return None
        if statistics.median(self._ratios) > LATENCY_JUMP_RATIO:
            return RelapseCause.LATENCY
        return None


def is_stalled(ages: Iterable[tuple[float, float]]) -> bool:
    """Tell whether most requests in flight take far longer than their baseline.

    Parameters
    ----------
    ages : iterable of (float, float)
        Age and baseline response time of each request in flight, in seconds.
    """
    ages = list(ages)
    late = sum(
        age_s > max(STALL_MIN_S, LATENCY_JUMP_RATIO * baseline_s) and baseline_s > 0.0
        for age_s, baseline_s in ages
    )
    return late >= STALL_MIN_REQUESTS and 2 * late > len(ages)
