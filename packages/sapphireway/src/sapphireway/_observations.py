"""Recording of events in metrics, logs and the decision log."""

from collections.abc import Callable
from typing import Any

from sapphireway._decisions import DecisionLog
from sapphireway._identity import CallUnadmitted, KeyRefused
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway._stalls import ProcessStalled
from sapphireway_coordination import (
    AttemptRefused,
    AttemptServed,
    CallEnded,
    CallHistory,
    ClaimEnded,
    ConfirmationLost,
    ConfirmationRegained,
    DepartureNotified,
    GateChanged,
    HealthUnreadable,
    LimitChanged,
    MemberEjected,
    QuotaRefused,
    RelapseSeen,
    ReportUnreadable,
    RetryDenied,
    RolloutDecided,
    RolloutHeld,
    ServerLeft,
    ServerLimited,
    SuspectMarked,
    TokenOwnerChanged,
    VersionChosen,
)

MS_PER_S = 1000

Observe = Callable[[Any], None]
"""Called with each event of the coordination layer."""

LOGGED_EVENTS = (
    ConfirmationLost,
    ConfirmationRegained,
    DepartureNotified,
    GateChanged,
    HealthUnreadable,
    MemberEjected,
    RelapseSeen,
    ReportUnreadable,
    RolloutDecided,
    RolloutHeld,
    ServerLeft,
    ServerLimited,
    ProcessStalled,
    SuspectMarked,
    TokenOwnerChanged,
)
UNDISPATCHED_EVENTS = (CallUnadmitted, KeyRefused)
"""Events that would displace the histories of dispatched calls."""
LABEL_FIELDS = {
    AttemptRefused: ("service", "kind", "reason"),
    CallEnded: ("service", "kind", "outcome"),
    CallUnadmitted: ("service", "kind", "reason"),
    KeyRefused: ("service", "kind", "reason"),
    LimitChanged: ("cause",),
    MemberEjected: ("service",),
    QuotaRefused: ("workspace", "reason"),
    RelapseSeen: ("cause",),
    RetryDenied: ("service", "cause", "reason"),
    RolloutDecided: ("service", "action"),
    RolloutHeld: ("service",),
    VersionChosen: ("service", "role"),
}
"""Fields of each event type that label its counter."""


def make_observe(decisions: DecisionLog, metrics: Metrics, log: EventLog) -> Observe:
    """Return a function that records every event.

    A call that was not answered at the first attempt is logged with all its decisions.
    """
    history = CallHistory()

    def observe(event: Any) -> None:
        event_type = type(event)
        decisions.record(event)
        if event_type not in UNDISPATCHED_EVENTS:
            history.observe(event)
        labels = {
            name: str(getattr(event, name)) for name in LABEL_FIELDS.get(event_type, ())
        }
        metrics.count("sapphireway_events_total", event=event_type.__name__, **labels)
        if event_type in LOGGED_EVENTS:
            log.warning(_get_event_name(event_type), **_get_fields(event))
        elif event_type is CallEnded:
            _log_call(log, history, event)
        elif event_type is ClaimEnded:
            log.log_submission(_get_event_name(event_type), **_get_fields(event))
        elif _is_failure(event):
            log.log_request(_get_event_name(event_type), **_get_fields(event))

    return observe


def _log_call(log, history, event):
    if event.outcome == "Answered" and event.attempts <= 1:
        return
    log.log_request(
        "call_ended",
        call=event.call_id,
        service=event.service,
        kind=event.kind,
        outcome=event.outcome,
        elapsed_ms=round(event.elapsed_s * MS_PER_S, 1),
        decisions=history.explain(event.call_id)[:-1],
    )


def _is_failure(event):
    if isinstance(event, AttemptServed):
        return event.outcome != "answered"
    return isinstance(event, AttemptRefused | CallUnadmitted)


def _get_event_name(event_type):
    name = event_type.__name__
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name).lstrip("_")


def _get_fields(event):
    fields = {name: getattr(event, name) for name in type(event).__match_args__}
    if isinstance(event, CallUnadmitted):
        # Timelines find the lines of a request by this field.
        fields["call"] = fields.pop("call_id")
    return fields
