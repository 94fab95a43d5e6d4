"""How many of its slots a server fills before it slows down.

Answers the load of a service whose servers get slower when they are nearly full: with
all slots taken, each request takes so much longer that fewer are answered a second than
with some slots left free. Whether a server does so, and by how much, shows only in the
times of its answers.
"""

LOW_SHARE_MAX = (
    0.7  # of the slots; below it a server is taken to run at its usual speed
)
HIGH_SHARE_MIN = 0.85  # above it a knee would show
BOUNDED_SHARE = 0.8  # of the slots that are used once a knee has shown
SAMPLES_MIN = 30  # on either side before the means are compared
SMOOTHING = 0.05  # of one sample in a mean


class KneeDetector:
    """Compares answers at low and at high load."""

    __slots__ = ("_high_count", "_high_mean", "_low_count", "_low_mean")

    def __init__(self):
        self._low_mean = self._high_mean = 1.0
        self._low_count = self._high_count = 0

    def record(self, share: float, ratio: float) -> None:
        """Take one answer into account.

        Parameters
        ----------
        share : float
            Slots in use while it ran, as a share of all.
        ratio : float
            Its time relative to the usual one of its kind.
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
        """Return how many of the slots answer most requests a second."""
        bounded = max(1, int(BOUNDED_SHARE * slots))
        if (
            min(self._low_count, self._high_count) < SAMPLES_MIN
            or self._low_mean <= 0.0
        ):
            return slots
        return (
            bounded if slots / (self._high_mean / self._low_mean) < bounded else slots
        )
