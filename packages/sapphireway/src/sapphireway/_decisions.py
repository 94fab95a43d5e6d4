"""Recent events of a node for ``sapphirectl explain``."""

import collections
import time
from collections.abc import Callable
from typing import Any

import msgspec

ROUTINE_EVENTS_MAX = 2048
NOTABLE_EVENTS_MAX = 2048
NOTABLE_OUTCOMES = frozenset(("NotRun", "Failed", "Unknown"))
ROUTINE_EVENTS = frozenset(
    ("AttemptSent", "AttemptStarted", "AttemptFinished", "ProbeSent", "QuotaRefused")
)
EXPLAINED_EVENTS_MAX = 200


class DecisionLog:
    """Keeps the newest events of the coordination layer.

    Refusals, failures and state changes are stored apart from the events of
    successful calls, which would soon evict them.

    Parameters
    ----------
    wall_clock : callable
        Seconds since the epoch.
    """

    __slots__ = ("_notable", "_routine", "_wall_clock")

    def __init__(self, wall_clock: Callable[[], float] = time.time):
        self._notable = collections.deque(maxlen=NOTABLE_EVENTS_MAX)
        self._routine = collections.deque(maxlen=ROUTINE_EVENTS_MAX)
        self._wall_clock = wall_clock

    def record(self, event: Any) -> None:
        """Store an event."""
        kept = self._notable if _is_notable(event) else self._routine
        kept.append((self._wall_clock(), event))

    def explain(
        self,
        service: str | None = None,
        server: str | None = None,
        call: str | None = None,
    ) -> list[dict]:
        """Return the newest matching events, oldest first.

        Returns
        -------
        list of dict
            ``time`` in seconds since the epoch, ``event`` and the event's fields.
        """
        filters = {"service": service, "server": server, "call_id": call}
        filters = {name: value for name, value in filters.items() if value is not None}
        merged = sorted([*self._routine, *self._notable], key=_get_time)
        matching = [item for item in merged if _matches(item[1], filters)]
        return [_describe(*item) for item in matching[-EXPLAINED_EVENTS_MAX:]]


def _get_time(item):
    return item[0]


def _is_notable(event):
    if getattr(event, "outcome", None) in NOTABLE_OUTCOMES:
        return True
    name = type(event).__name__
    return name not in ROUTINE_EVENTS and not hasattr(event, "outcome")


def _matches(event, filters):
    return all(getattr(event, name, None) == value for name, value in filters.items())


def _describe(time_s, event):
    fields = msgspec.to_builtins(event)
    return {"time": time_s, "event": type(event).__name__, **fields}
