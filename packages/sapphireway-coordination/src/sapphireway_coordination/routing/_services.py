"""What an entry node keeps for each service that it calls, besides server loads."""

import collections

from sapphireway_coordination.routing._budgets import RetryBudget
from sapphireway_coordination.routing._latencies import RecentLatencies
from sapphireway_coordination.routing._shedding import Shedder

SERVICES_KEPT = 256
KINDS_KEPT = 64
ANSWER_BYTES_GAIN = 0.1


class ServiceState:
    """Budget, throttle and latencies of one service.

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

    def note_answer(self, kind: str, size: int) -> None:
        """Take the size of one answer into account."""
        mean = fetch(self._answer_bytes, kind, lambda: float(size), KINDS_KEPT)
        self._answer_bytes[kind] = mean + ANSWER_BYTES_GAIN * (size - mean)

    def get_answer_bytes(self, kind: str) -> float:
        """Return the usual size of a kind's answers; 0 if it is not known."""
        return self._answer_bytes.get(kind, 0.0)

    def get_latencies(self, kind: str) -> RecentLatencies:
        """Return the recent latencies of a kind."""
        return fetch(self._latencies, kind, RecentLatencies, KINDS_KEPT)


class ServiceTable:
    """The states of the services that were called most recently."""

    __slots__ = ("_states",)

    def __init__(self):
        self._states = collections.OrderedDict()

    def get(self, service: str) -> ServiceState:
        """Return the state of a service."""
        return fetch(self._states, service, ServiceState, SERVICES_KEPT)

    def list_states(self) -> list[tuple[str, ServiceState]]:
        """Return the services kept and their states, for metrics."""
        return list(self._states.items())


def fetch(table, key, create, size_max):
    """Return `table[key]`, created if missing; drop the least recently used."""
    value = table.get(key)
    if value is None:
        value = table[key] = create()
        if len(table) > size_max:
            table.popitem(last=False)
    else:
        table.move_to_end(key)
    return value
