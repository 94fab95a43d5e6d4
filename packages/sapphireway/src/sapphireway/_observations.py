"""What a node's events mean for metrics, logs and ``explain``."""

from collections.abc import Callable
from typing import Any

from sapphireway._decisions import DecisionLog
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_coordination import (
    AttemptRefused,
    CallEnded,
    GateChanged,
    LimitChanged,
    MemberEjected,
    RelapseSeen,
    RetryDenied,
    SuspectMarked,
)

Observe = Callable[[Any], None]
"""Called with each event dataclass of the coordination layer."""

LOGGED = (GateChanged, MemberEjected, RelapseSeen, SuspectMarked)
LABELS = {
    AttemptRefused: ("service", "kind", "reason"),
    CallEnded: ("service", "kind", "outcome"),
    LimitChanged: ("cause",),
    MemberEjected: ("service",),
    RelapseSeen: ("cause",),
    RetryDenied: ("service", "cause", "reason"),
}
"""Fields of an event that its counter is split by."""


def make_observe(decisions: DecisionLog, metrics: Metrics, log: EventLog) -> Observe:
    """Return a function that records every event."""

    def observe(event: Any) -> None:
        event_type = type(event)
        decisions.record(event)
        labels = {
            name: str(getattr(event, name)) for name in LABELS.get(event_type, ())
        }
        metrics.count("sapphireway_events_total", event=event_type.__name__, **labels)
        if event_type in LOGGED:
            log.warning(_name_event(event_type), **_list_fields(event))

    return observe


def _name_event(event_type):
    name = event_type.__name__
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name).lstrip("_")


def _list_fields(event):
    return {name: getattr(event, name) for name in event.__slots__}
