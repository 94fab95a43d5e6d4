"""State that an entry node keeps per called service, besides server loads."""

import collections

from sapphireway_coordination.routing._budgets import RetryBudget
from sapphireway_coordination.routing._latencies import RecentLatencies
from sapphireway_coordination.routing._shedding import Shedder

SERVICES_KEPT = 256
KINDS_KEPT = 64
ANSWER_BYTES_SMOOTHING = 0.1


class ServiceState:
    """Retry budget, shedder, latencies and answer sizes of one service.

    Attributes
    ----------
    budget : RetryBudget
    shedder : Shedder
    """

    __slots__ = ("_answer_bytes", "_latencies", "budget", "shedder")

    def __init__(self):
        self._answer_bytes = collections.OrderedDict()
        self._latencies = collections.OrderedDict()
        self.budget = RetryBudget()
        self.shedder = Shedder()

    def record_answer_size(self, kind: str, size: int) -> None:
        """Add the size of one answer to the moving average of its kind."""
        mean = get_or_create(self._answer_bytes, kind, lambda: float(size), KINDS_KEPT)
        self._answer_bytes[kind] = mean + ANSWER_BYTES_SMOOTHING * (size - mean)

    def get_answer_bytes(self, kind: str) -> float:
        """Return the usual size of a kind's answers; 0 if unknown."""
        return self._answer_bytes.get(kind, 0.0)

    def get_latencies(self, kind: str) -> RecentLatencies:
        """Return the recent latencies of a kind."""
        return get_or_create(self._latencies, kind, RecentLatencies, KINDS_KEPT)


class ServiceTable:
    """States of the most recently called services."""

    __slots__ = ("_states",)

    def __init__(self):
        self._states = collections.OrderedDict()

    def get(self, service: str) -> ServiceState:
        """Return the state of a service."""
        return get_or_create(self._states, service, ServiceState, SERVICES_KEPT)

    def list_states(self) -> list[tuple[str, ServiceState]]:
        """Return the services in the table and their states, for metrics."""
        return list(self._states.items())


def get_or_create(table, key, create, size_max):
    """Return `table[key]`, created if missing; evict the least recently used entry."""
    value = table.get(key)
    if value is None:
        value = table[key] = create()
        if len(table) > size_max:
            table.popitem(last=False)
    else:
        table.move_to_end(key)
    return value
