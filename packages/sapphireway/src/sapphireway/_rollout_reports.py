"""Connects the gate's answers with the reports on versions to the control hosts."""

from collections.abc import Callable

from sapphireway_coordination import (
    CANCELLED_DETAIL,
    AttemptServed,
    ControlHostList,
    Gate,
    GetRollout,
    ReportedServer,
    VersionReporter,
)
from sapphireway_protocol import Peers, ServerState, VersionReport

STATUS_FAILURE_MIN = 500


def make_version_reporter(
    gate: Gate, get_rollout: GetRollout, send: Callable[[VersionReport], None]
) -> VersionReporter:
    """Return the reporter of the gate's server."""

    def get_server():
        announcement, load = gate.announcement, gate.get_load()
        if announcement is None or load is None:
            return None
        # One that does not report its warm-up counts as cold until it has answered
        # enough requests: it would wait for its share, and a slow version would pass.
        reports_warm_up = announcement.cold_s is not None
        cold = load.state is ServerState.COLD and reports_warm_up
        serving = load.state in (ServerState.SERVING, ServerState.COLD)
        return ReportedServer(
            announcement.server,
            announcement.service,
            announcement.version,
            load.in_flight + load.queued,
            cold,
            serving and not cold,
        )

    return VersionReporter(get_server, get_rollout, send)


def make_report_sender(
    peers: Peers, control_hosts: ControlHostList
) -> Callable[[VersionReport], None]:
    """Return a function that sends a report to all control hosts.

    Each of them may become the leader, and then needs the reports at once.
    """

    def send_report(report: VersionReport) -> None:
        for host in control_hosts.addresses:
            peers.send(host, report)

    return send_report


def count_answer(reporter: VersionReporter, event: AttemptServed) -> None:
    """Count a request that the server ran.

    One that was cancelled says nothing of success, but has taken at least the time
    until then: if hedges always won against a slow version, it would look unused.
    """
    if event.outcome == "not_run":
        return
    answered = event.outcome == "answered"
    cancelled = event.detail == CANCELLED_DETAIL
    failed = event.status >= STATUS_FAILURE_MIN if answered else not cancelled
    elapsed_s = event.elapsed_s if answered or cancelled else None
    reporter.record(event.service, event.kind, failed, elapsed_s)
