"""What a node's events mean for metrics, logs and ``explain``."""

from collections.abc import Callable
from typing import Any

from sapphireway._decisions import DecisionLog
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_coordination import (
    AttemptRefused,
    AttemptServed,
    CallEnded,
    CallHistory,
    GateChanged,
    LimitChanged,
    MemberEjected,
    RelapseSeen,
    RetryDenied,
    SuspectMarked,
)

MS_PER_S = 1000

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
    """Return a function that records every event.

    What became of a request is logged with all decisions on its way if it was not
    answered at the first attempt.
    """
    history = CallHistory()

    def observe(event: Any) -> None:
        event_type = type(event)
        decisions.record(event)
        history.observe(event)
        labels = {
            name: str(getattr(event, name)) for name in LABELS.get(event_type, ())
        }
        metrics.count("sapphireway_events_total", event=event_type.__name__, **labels)
        if event_type in LOGGED:
            log.warning(_name_event(event_type), **_list_fields(event))
        elif event_type is CallEnded:
            _tell_call(log, history, event)
        elif _went_wrong(event):
            log.tell(_name_event(event_type), **_list_fields(event))

    return observe


def _tell_call(log, history, event):
    if event.outcome == "Answered" and event.attempts <= 1:
        return
    log.tell(
        "call_ended",
        call=event.call_id,
        service=event.service,
        kind=event.kind,
        outcome=event.outcome,
        elapsed_ms=round(event.elapsed_s * MS_PER_S, 1),
        decisions=history.explain(event.call_id)[:-1],
    )


def _went_wrong(event):
    if isinstance(event, AttemptServed):
        return event.outcome != "answered"
    return isinstance(event, AttemptRefused)


def _name_event(event_type):
    name = event_type.__name__
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name).lstrip("_")


def _list_fields(event):
    return {name: getattr(event, name) for name in event.__slots__}
