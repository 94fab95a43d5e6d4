"""Descriptions of servers and calls that operators can read."""

import collections
import math

import msgspec

from sapphireway_coordination.routing._events import (
    AttemptEnded,
    AttemptSent,
    CallEnded,
    CallEvent,
    RetryDenied,
    RevokeSent,
    VersionChosen,
)
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._routing import estimate_prior, predict

CALLS_KEPT = 512
EVENTS_KEPT = 32  # per call


class ServerView(msgspec.Struct, frozen=True):
    """State of one server as an entry node knows it.

    Attributes
    ----------
    server, domain : str
    availability : str
        ``usable``, ``out``, ``leaving``, ``refusing``, ``ejected``, ``silent`` or
        ``trial``.
    predicted_ms : float
        Response time predicted for one more attempt.
    latency_ms : float
        Moving average of the server's part of the latency of this node's attempts.
    round_trip_ms : float
    outstanding : int
        Attempts of this node in progress.
    oldest_ms : float
        Age of the oldest attempt in progress.
    failure_percent : float
    report_age_ms : float or None
        None before the first report.
    reported_in_flight, reported_queued, reported_limit : int
    """

    server: str
    domain: str
    availability: str
    predicted_ms: float
    latency_ms: float
    round_trip_ms: float
    outstanding: int
    oldest_ms: float
    failure_percent: float
    report_age_ms: float | None
    reported_in_flight: int
    reported_queued: int
    reported_limit: int


def explain_servers(loads: list[ServerLoad], now_s: float) -> list[ServerView]:
    """Return a view of each server, ordered by preference."""
    prior = estimate_prior(loads, now_s)
    views = [
        describe_server(load, predict(load, prior, now_s), now_s) for load in loads
    ]
    return sorted(
        views, key=lambda view: (view.availability != "usable", view.predicted_ms)
    )


def describe_server(load: ServerLoad, predicted_s: float, now_s: float) -> ServerView:
    """Return the view of one server."""
    report = load.report
    return ServerView(
        server=load.member.server,
        domain=load.member.domain,
        availability=describe_availability(load, now_s),
        predicted_ms=predicted_s * 1000.0,
        latency_ms=load.latency_s * 1000.0,
        round_trip_ms=load.round_trip_s * 1000.0,
        outstanding=len(load.outstanding),
        oldest_ms=load.get_oldest_age(now_s) * 1000.0,
        failure_percent=load.get_failure_rate(now_s) * 100.0,
        report_age_ms=None
        if report is None
        else (now_s - load.report_received_s) * 1000.0,
        reported_in_flight=0 if report is None else report.in_flight,
        reported_queued=0 if report is None else report.queued,
        reported_limit=0 if report is None else report.limit,
    )


def describe_availability(load: ServerLoad, now_s: float) -> str:
    """Return one word that says whether a server gets calls, or why not."""
    if load.member.out:
        return "out"
    if load.leaving:
        return "leaving"
    if not load.is_serving(now_s):
        return "refusing"
    if load.unresponsive:
        return "silent"
    if load.is_ejected(now_s):
        return "ejected"
    return "trial" if load.ejections else "usable"


class CallHistory:
    """Keeps the events of recent calls to explain their outcomes.

    Pass `observe` to the dispatcher, alone or combined with other observers.
    """

    __slots__ = ("_calls",)

    def __init__(self):
        self._calls = collections.OrderedDict()

    def observe(self, event: CallEvent) -> None:
        """Record an event if it belongs to a call."""
        call_id = getattr(event, "call_id", None)
        if call_id is None:
            return
        events = self._calls.setdefault(call_id, [])
        if len(events) < EVENTS_KEPT or isinstance(event, CallEnded):
            events.append(event)
        if len(self._calls) > CALLS_KEPT:
            self._calls.popitem(last=False)

    def explain(self, call_id: str) -> list[str]:
        """Return one line per event of a call; an empty list if the call is unknown."""
        return [describe_event(event) for event in self._calls.get(call_id, ())]


def describe_event(event: CallEvent) -> str:
    """Return an event of a call as one line of text."""
    match event:
        case AttemptSent():
            return (
                f"{event.cause} attempt {event.attempt} sent to {event.server} in "
                f"{event.domain}, one of {event.candidates}, {_describe_report(event)}"
            )
        case VersionChosen():
            return (
                f"rollout of {event.version} at {event.share:.0%}: "
                f"servers of the {event.role} version"
            )
        case AttemptEnded():
            return (
                f"attempt {event.attempt} at {event.server} ended {event.outcome} "
                f"after {event.elapsed_s * 1000:.1f} ms {event.detail}"
            ).rstrip()
        case RevokeSent():
            return (
                f"attempt {event.attempt} at {event.server} silent for "
                f"{event.waited_s * 1000:.1f} ms, asked never to start"
            )
        case RetryDenied():
            return f"no {event.cause}: {event.reason}"
        case CallEnded():
            return (
                f"call ended {event.outcome} after {event.elapsed_s * 1000:.1f} ms "
                f"and {event.attempts} attempts {event.detail}"
            ).rstrip()
    return repr(event)


def _describe_report(event):
    if event.report_age_s == math.inf:
        return "load unknown"
    age = f"heard {event.report_age_s * 1000:.0f} ms ago"
    return f"{event.slowness:.1f} times slow, {age}" if event.slowness else age
