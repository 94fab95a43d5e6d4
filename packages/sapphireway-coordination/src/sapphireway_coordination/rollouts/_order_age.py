"""Age of an order and of its share, on clocks that may jump."""

from sapphireway_state import Rollout

MS_PER_S = 1000.0
# The journal brings an order to a host that is up within this time.
ORDER_DELAY_MAX_S = 1.0


class OrderAge:
    """Age of an order as one host measures it.

    Counts on the event loop's clock from the moment at which this host first saw the
    order. The wall clock gives only what passed before, within bounds, as it may have
    jumped, here or at the host that took the order.

    Parameters
    ----------
    rollout : Rollout
    now_s : float
        Loop time.
    wall_s : float
        Seconds since the epoch.
    was_up : bool
        Whether this host was up when the order was committed.
    """

    __slots__ = ("_changed", "_seen_age_s", "_seen_s", "_step_seen_s")

    def __init__(self, rollout: Rollout, now_s: float, wall_s: float, was_up: bool):
        bound_s = ORDER_DELAY_MAX_S if was_up else rollout.duration_ms / MS_PER_S
        age_s = min(max(0.0, wall_s - rollout.ordered_s), bound_s)
        self._changed = rollout.changed
        self._seen_age_s = max(age_s, rollout.age_ms / MS_PER_S)
        self._seen_s = self._step_seen_s = now_s

    def update(self, rollout: Rollout, now_s: float) -> None:
        """Take a later step into account, which states the age at its proposer."""
        if rollout.changed == self._changed:
            return
        self._changed = rollout.changed
        self._step_seen_s = now_s
        age_s = max(self.get_age(now_s), rollout.age_ms / MS_PER_S)
        self._seen_age_s, self._seen_s = age_s, now_s

    def restart_step(self, now_s: float) -> None:
        """Count the time of the current step anew."""
        self._step_seen_s = now_s

    def get_age(self, now_s: float) -> float:
        """Return the age of the order in seconds."""
        return self._seen_age_s + now_s - self._seen_s

    def get_step_time(self, now_s: float) -> float:
        """Return for how long this host has known the current share, in seconds."""
        return now_s - self._step_seen_s
