"""Recent decisions of a node, for ``sapphirectl explain``."""

import collections
import dataclasses
import time
from collections.abc import Callable
from typing import Any

ORDINARY_KEPT = 2048
NOTABLE_KEPT = 2048
NOTABLE_OUTCOMES = frozenset(("NotRun", "Failed", "Unknown"))
ORDINARY_EVENTS = frozenset(
    ("AttemptSent", "AttemptStarted", "AttemptFinished", "ProbeSent")
)
EXPLAINED_MAX = 200


class DecisionLog:
    """Keeps the newest events of the coordination layer.

    Refusals, failures and changes of state are kept apart from the events of
    ordinary calls, which would soon push them out.

    Parameters
    ----------
    wall_clock : callable
        Seconds since the epoch.
    """

    __slots__ = ("_notable", "_ordinary", "_wall_clock")

    def __init__(self, wall_clock: Callable[[], float] = time.time):
        self._notable = collections.deque(maxlen=NOTABLE_KEPT)
        self._ordinary = collections.deque(maxlen=ORDINARY_KEPT)
        self._wall_clock = wall_clock

    def record(self, event: Any) -> None:
        """Keep one event dataclass."""
        kept = self._notable if _is_notable(event) else self._ordinary
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
        wanted = {"service": service, "server": server, "call_id": call}
        wanted = {name: value for name, value in wanted.items() if value is not None}
        merged = sorted([*self._ordinary, *self._notable], key=_get_time)
        matching = [item for item in merged if _matches(item[1], wanted)]
        return [_describe(*item) for item in matching[-EXPLAINED_MAX:]]


def _get_time(item):
    return item[0]


def _is_notable(event):
    if getattr(event, "outcome", None) in NOTABLE_OUTCOMES:
        return True
    name = type(event).__name__
    return name not in ORDINARY_EVENTS and not hasattr(event, "outcome")


def _matches(event, wanted):
    return all(getattr(event, name, None) == value for name, value in wanted.items())


def _describe(time_s, event):
    fields = dataclasses.asdict(event)
    return {"time": time_s, "event": type(event).__name__, **fields}
