"""Detection of the knee, the concurrency above which a server's throughput falls.

Some servers slow down when nearly all slots are in use: each request then takes so much
longer that throughput is lower than with some slots left free. Whether a server does
so, and by how much, shows only in its response times.
"""

LOW_SHARE_MAX = 0.7  # of the slots; up to it, a server is assumed to run at usual speed
HIGH_SHARE_MIN = 0.85  # of the slots; from it on, a knee would show
BOUNDED_SHARE = 0.8  # of the slots; used once a knee was found
SAMPLES_MIN = 30  # at low and at high load each, before the means are compared
SMOOTHING = 0.05  # weight of one sample in the moving averages


class KneeDetector:
    """Compares response times at low and at high load."""

    __slots__ = ("_high_count", "_high_mean", "_low_count", "_low_mean")

    def __init__(self):
        self._low_mean = self._high_mean = 1.0
        self._low_count = self._high_count = 0

    def record(self, share: float, ratio: float) -> None:
        """Add one answer.

        Parameters
        ----------
        share : float
            Share of slots in use while it ran.
        ratio : float
            Response time relative to the baseline of its kind.
        """
        if share <= LOW_SHARE_MAX:
            self._low_count += 1
            self._low_mean += max(SMOOTHING, 1.0 / self._low_count) * (
                ratio - self._low_mean
            )
        elif share >= HIGH_SHARE_MIN:
            self._high_count += 1
            self._high_mean += max(SMOOTHING, 1.0 / self._high_count) * (
                ratio - self._high_mean
            )

    def bound(self, slots: int) -> int:
        """Return how many of the slots give the highest throughput."""
        bounded = max(1, int(BOUNDED_SHARE * slots))
        if (
            min(self._low_count, self._high_count) < SAMPLES_MIN
            or self._low_mean <= 0.0
        ):
            return slots
        return (
            bounded if slots / (self._high_mean / self._low_mean) < bounded else slots
        )
