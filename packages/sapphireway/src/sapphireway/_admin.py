"""Builds the HTTP interface for operators and for the server beside the node."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import tornado.httpserver

from sapphireway._bounded_server import make_bounded_server
from sapphireway._control_hosts import ControlHostManager
from sapphireway._decisions import DecisionLog
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway._operations import Operations
from sapphireway._operator import OPERATOR_BODY_MAX_BYTES, make_operator_application
from sapphireway._operator_backend import OperatorBackend
from sapphireway._operator_token import make_token_reader
from sapphireway._rollout_api import make_rollout_routes
from sapphireway._server_api import make_server_routes
from sapphireway._shared_state import SharedState
from sapphireway._stalls import StallWatch
from sapphireway_coordination import Gate
from sapphireway_state import ProcessSettings
from sapphireway_transport import ConnectionLimit, MemoryBudget

CONTROL_SILENCE_MAX_S = 5.0


def build_admin(
    settings: ProcessSettings,
    shared: SharedState,
    gate: Gate,
    decisions: DecisionLog,
    metrics: Metrics,
    log: EventLog,
    list_spans: Callable[[str | None, int], list[dict[str, Any]]],
    watch: StallWatch,
    budget: MemoryBudget,
    connection_limit: ConnectionLimit,
) -> tornado.httpserver.HTTPServer:
    """Return the server of the admin address, which does not listen yet.

    Parameters
    ----------
    settings : ProcessSettings
    shared : SharedState
    gate : Gate
    decisions : DecisionLog
    metrics : Metrics
    log : EventLog
    list_spans : callable
        Returns the spans of a trace, or of all if it is None, up to a limit.
    watch : StallWatch
    budget : MemoryBudget
        Of all that the process holds for requests and answers.
    connection_limit : ConnectionLimit
    """
    operations = Operations(
        shared.peers, shared.control_client, settings.control_hosts, shared.applied
    )
    control_host_manager = ControlHostManager(
        shared.peers, shared.control_client, settings.control_hosts
    )
    backend = OperatorBackend(
        propose=operations.propose,
        read=operations.read,
        get_view=lambda: shared.applied.view,
        list_live=operations.list_live,
        get_status=operations.get_status,
        list_control_hosts=control_host_manager.list_hosts,
        change_control_hosts=control_host_manager.change,
        get_explanations=decisions.explain,
        get_traces=list_spans,
        render_metrics=metrics.render,
        export_histograms=metrics.export_histograms,
        get_faults=lambda: _list_faults(shared),
        get_token=make_token_reader(settings.token_file, log.warning),
        wall_clock=time.time,
        log_event=log.info,
    )
    application = make_operator_application(backend, watch)
    application.add_handlers(".*", make_server_routes(gate))
    rollout_routes = make_rollout_routes(backend, shared.rollout_orders, watch)
    application.add_handlers(".*", rollout_routes)
    return make_bounded_server(
        application, OPERATOR_BODY_MAX_BYTES, budget, connection_limit
    )


def _list_faults(shared):
    faults = []
    if shared.applied.version == 0:
        faults.append("no settings are in force")
    silent_s = asyncio.get_running_loop().time() - shared.membership.last_renewed_s
    if silent_s > CONTROL_SILENCE_MAX_S:
        faults.append("no control host answers")
    return faults
