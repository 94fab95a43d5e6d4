"""How many of its slots a server fills before it slows down.

Answers the load of a service whose servers get slower when they are nearly full: with
all slots taken, each request takes so much longer that fewer are answered a second than
with some slots left free. Whether a server does so, and by how much, shows only in the
times of its answers.
"""

SHARE_LOW = 0.7  # of the slots; below it a server is taken to run at its usual speed
SHARE_HIGH = 0.85  # above it a knee would show
SHARE_KEPT = 0.8  # of the slots that are used once a knee has shown
SAMPLES_MIN = 30  # on either side before the means are compared
GAIN = 0.05  # of one sample in a mean


class Knee:
    """Compares answers at low and at high load."""

    __slots__ = ("_high", "_highs", "_low", "_lows")

    def __init__(self):
        self._low = self._high = 1.0
        self._lows = self._highs = 0

    def record(self, share: float, ratio: float) -> None:
        """Take one answer into account.

        Parameters
        ----------
        share : float
            Slots in use while it ran, as a share of all.
        ratio : float
            Its time relative to the usual one of its kind.
        """
        if share <= SHARE_LOW:
            self._lows += 1
            self._low += max(GAIN, 1.0 / self._lows) * (ratio - self._low)
        elif share >= SHARE_HIGH:
            self._highs += 1
            self._high += max(GAIN, 1.0 / self._highs) * (ratio - self._high)

    def bound(self, slots: int) -> int:
        """Return how many of the slots answer most requests a second."""
        kept = max(1, int(SHARE_KEPT * slots))
        if min(self._lows, self._highs) < SAMPLES_MIN or self._low <= 0.0:
            return slots
        return kept if slots / (self._high / self._low) < kept else slots
