"""Recent latencies of one kind of call and their percentiles."""

import collections

SAMPLES_KEPT = 256
SAMPLES_MIN = 20
REFRESH_SAMPLES = 16


class RecentLatencies:
    """Sliding window of the latencies of a service and kind, in seconds.

    The sorted samples are refreshed only once per `REFRESH_SAMPLES` samples.
    """

    __slots__ = ("_added", "_samples", "_sorted")

    def __init__(self):
        self._samples = collections.deque(maxlen=SAMPLES_KEPT)
        self._sorted = []
        self._added = 0

    def add(self, latency_s: float) -> None:
        """Add one sample."""
        self._samples.append(latency_s)
        self._added += 1

    def get_percentile(self, percentile: float) -> float | None:
        """Return a percentile, or None while there are too few samples."""
        if len(self._samples) < SAMPLES_MIN:
            return None
        if self._added >= REFRESH_SAMPLES or not self._sorted:
            self._sorted = sorted(self._samples)
            self._added = 0
        rank = int(len(self._sorted) * percentile / 100.0)
        return self._sorted[min(rank, len(self._sorted) - 1)]
