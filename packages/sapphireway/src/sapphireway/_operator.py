"""Operator API on the admin address: settings, status, explanations, metrics."""

import hmac
from typing import Any

import msgspec
from tornado.web import Application, Finish, RequestHandler

from sapphireway._operator_backend import (
    UNREADABLE_ANSWER,
    ChangeRefused,
    OperatorBackend,
    Unavailable,
)
from sapphireway._senders import Sender
from sapphireway._stalls import StallWatch
from sapphireway_protocol import DECODE_ERRORS
from sapphireway_state import (
    Accepted,
    Conflict,
    ControlHostsChange,
    ControlHostsReport,
    CurrentTree,
    Edit,
    EditRequest,
    ErrorReply,
    ForceNeeded,
    ReadChanges,
    ReadHistory,
    ReadTree,
    Refused,
    SettingsReply,
    SettingsView,
    SetValue,
    TooOld,
    decode_answer,
    decode_result,
    encode_edit,
    encode_query,
    exceeds_depth,
    explain_path,
    find_request_error,
    get_value,
)

OPERATOR_BODY_MAX_BYTES = 1024 * 1024
ENTRIES_MAX = 1_000
# sapphirectl waits for as long by default, and may then ask another node.
SENDER_WAIT_MAX_S = 10.0

STATUS_BY_ANSWER = {
    Accepted: 200,
    Conflict: 409,
    Refused: 422,
    TooOld: 410,
    ForceNeeded: 412,
}


def make_operator_application(
    backend: OperatorBackend, watch: StallWatch
) -> Application:
    """Return the web application of the admin address.

    Create its server with ``max_body_size=OPERATOR_BODY_MAX_BYTES``.
    """
    arguments = {"backend": backend}
    order_arguments = {"backend": backend, "watch": watch}
    routes = [
        ("/v1/settings", SettingsHandler, arguments),
        ("/v1/edits", EditsHandler, arguments),
        ("/v1/history", HistoryHandler, arguments),
        ("/v1/changes", ChangesHandler, arguments),
        ("/v1/status", StatusHandler, arguments),
        ("/v1/control-hosts", ControlHostsHandler, order_arguments),
        ("/v1/explanations", ExplanationsHandler, arguments),
        ("/v1/traces", TracesHandler, arguments),
        ("/metrics", MetricsHandler, arguments),
        ("/metrics/histograms", HistogramsHandler, arguments),
        ("/health", HealthHandler, arguments),
    ]
    return Application(
        routes,
        default_handler_class=UnknownHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


class OperatorHandler(RequestHandler):
    """Base of the handlers; sends results and errors as JSON."""

    def initialize(self, backend):
        """Store the backend."""
        self.backend = backend

    def reply(self, result: Any, status: int = 200) -> None:
        """Send a result as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(result))

    def fail(self, status: int, error: str, detail: str) -> None:
        """Send an error and end the request."""
        self.reply(ErrorReply(error, detail), status)
        raise Finish

    def write_error(self, status_code, **kwargs):
        """Send an error raised by the framework as JSON."""
        self.reply(ErrorReply("bad_request", self._reason), status_code)

    def get_number(self, name: str, default: int, maximum: int = 2**62) -> int:
        """Return a non-negative integer query argument, at most `maximum`."""
        text = self.get_query_argument(name, str(default))
        if not (text.isascii() and text.isdigit() and len(text) < 20):
            self.fail(400, "bad_request", f"{name}: {text!r} is not an integer >= 0")
        return min(int(text), maximum)

    async def read(self, query) -> Any:
        """Return the control hosts' answer to a query."""
        content = await self.backend.read(encode_query(query))
        if isinstance(content, Unavailable) or not content:
            detail = (
                content.detail if content else "the control host runs an older version"
            )
            self.fail(503, "unavailable", detail)
        result = decode_result(content)
        if result is None:
            self.fail(503, "unavailable", UNREADABLE_ANSWER)
        return result

    async def read_view(self) -> SettingsView:
        """Return the current tree, or with ``local=1`` the one in force here."""
        if self.get_query_argument("local", "0") == "1":
            return self.backend.get_view()
        current: CurrentTree = await self.read(ReadTree())
        return SettingsView(current.tree, current.version)

    def require_token(self) -> None:
        """Reject the request unless it carries the operator's token."""
        token = self.backend.get_token()
        scheme, _, given = self.request.headers.get("Authorization", "").partition(" ")
        if (
            token is not None
            and scheme.lower() == "bearer"
            and hmac.compare_digest(given.strip().encode(), token.encode())
        ):
            return
        self.backend.log_event(
            "operator_unauthorized",
            remote=self.request.remote_ip,
            method=self.request.method,
            path=self.request.path,
        )
        self.set_header("WWW-Authenticate", "Bearer")
        detail = "the token is missing or wrong"
        if token is None:
            detail = "this node has no token_file and accepts no changes"
        self.fail(401, "unauthorized", detail)


class SettingsHandler(OperatorHandler):
    """Returns the tree, or the value and the effective settings at a path."""

    async def get(self):
        """Reply with a `SettingsReply`."""
        view = await self.read_view()
        path = self.get_query_argument("path", "").strip("/")
        sources = explain_path(view, path) if path else []
        value = get_value(view, path)
        if sources is None and value is None:
            self.fail(404, "not_found", f"nothing is set at {path!r}")
        self.reply(SettingsReply(view.version, path, value, sources or []))


class EditsHandler(OperatorHandler):
    """Edits the tree."""

    async def post(self):
        """Propose one edit and reply with the answer of the settings machine."""
        self.require_token()
        edit = await self._build_edit(self._parse_request())
        try:
            command = encode_edit(edit)
        except DECODE_ERRORS as error:
            self.fail(400, "bad_request", str(error))
        content = await self.backend.propose(command)
        if isinstance(content, Unavailable):
            error = "unknown" if content.maybe_applied else "unavailable"
            self.fail(503, error, content.detail)
        answer = decode_answer(content)
        if answer is None:
            self.fail(503, "unknown", UNREADABLE_ANSWER)
        self.reply(answer, STATUS_BY_ANSWER[type(answer)])

    def _parse_request(self):
        try:
            request = msgspec.json.decode(self.request.body, type=EditRequest)
        except DECODE_ERRORS as error:
            self.fail(400, "bad_request", str(error))
        for operation in request.operations:
            if isinstance(operation, SetValue) and exceeds_depth(operation.value):
                self.fail(400, "bad_request", f"{operation.path}: nests too deeply")
        return request

    async def _build_edit(self, request):
        edit = Edit(
            request.edit_id,
            request.base,
            request.operations,
            request.operator,
            request.reason,
            self.backend.wall_clock(),
            request.force,
        )
        if not any(map(_may_take_out_of_service, request.operations)):
            return edit
        live = await self.backend.list_live()
        return msgspec.structs.replace(edit, live=live)


class HistoryHandler(OperatorHandler):
    """Returns the history of edits."""

    async def get(self):
        """Reply with a `History`."""
        limit = self.get_number("limit", 100, ENTRIES_MAX)
        self.reply(await self.read(ReadHistory(limit, self.get_number("before", 0))))


class ChangesHandler(OperatorHandler):
    """Returns the differences between two versions."""

    async def get(self):
        """Reply with `Changes`."""
        since = self.get_number("since", 0)
        self.reply(await self.read(ReadChanges(since, self.get_number("until", 0))))


class StatusHandler(OperatorHandler):
    """Returns the status of all known nodes and servers."""

    async def get(self):
        """Reply with a `StatusReport`."""
        self.reply(await self.backend.get_status())


class OrderHandler(OperatorHandler):
    """Base of the handlers of orders that are carried out only while they are awaited.

    Attributes
    ----------
    sender : Sender
    """

    def initialize(self, backend, watch):
        """Store the dependencies."""
        super().initialize(backend)
        self.sender = Sender(self.request, watch, SENDER_WAIT_MAX_S)


class ControlHostsHandler(OrderHandler):
    """Lists, adds and removes control hosts."""

    async def get(self):
        """Reply with a `ControlHostsReport`."""
        self.reply(await self.backend.list_control_hosts())

    async def post(self):
        """Add and remove control hosts and reply with a `ControlHostsReport`."""
        self.require_token()
        change = self._parse_change()
        result = await self.backend.change_control_hosts(
            change, self.sender.find_staleness
        )
        if isinstance(result, ChangeRefused):
            if result.can_be_forced:
                self.fail(412, "force_needed", result.detail)
            self.fail(422, "refused", result.detail)
        self._log_change(change, isinstance(result, ControlHostsReport))
        if isinstance(result, Unavailable):
            error = "unknown" if result.maybe_applied else "unavailable"
            self.fail(503, error, result.detail)
        self.reply(result)

    def _parse_change(self):
        try:
            change = msgspec.json.decode(self.request.body, type=ControlHostsChange)
        except DECODE_ERRORS as error:
            self.fail(400, "bad_request", str(error))
        request_error = find_request_error(change)
        if request_error is not None:
            self.fail(400, "bad_request", request_error)
        return change

    def _log_change(self, change, accepted):
        self.backend.log_event(
            "control_hosts_change",
            add=change.add,
            remove=change.remove,
            operator=change.operator,
            reason=change.reason,
            accepted=accepted,
        )


class ExplanationsHandler(OperatorHandler):
    """Returns recent decisions."""

    async def get(self):
        """Reply with a list of flat objects, newest last."""
        filters = [
            self.get_query_argument(name, None)
            for name in ("service", "server", "call")
        ]
        self.reply(self.backend.get_explanations(*filters))


class TracesHandler(OperatorHandler):
    """Returns recent spans."""

    async def get(self):
        """Reply with a list of spans, newest last."""
        limit = self.get_number("limit", 100, ENTRIES_MAX)
        trace = self.get_query_argument("trace", None)
        self.reply(self.backend.get_traces(trace, limit))


class MetricsHandler(OperatorHandler):
    """Returns the metrics in the Prometheus text format."""

    async def get(self):
        """Reply with the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.backend.render_metrics())


class HistogramsHandler(OperatorHandler):
    """Returns latency histograms in an encoding that can be merged across nodes."""

    async def get(self):
        """Reply with a list of names, labels and encoded histograms."""
        self.reply(self.backend.export_histograms())


class HealthHandler(OperatorHandler):
    """Returns whether this node is healthy."""

    async def get(self):
        """Reply with status 200, or 503 if there are faults."""
        faults = self.backend.get_faults()
        self.reply({"healthy": not faults, "faults": faults}, 503 if faults else 200)


class UnknownHandler(OperatorHandler):
    """Rejects requests for any other path."""

    async def prepare(self):
        """Reply with status 404."""
        self.fail(404, "not_found", f"no such path: {self.request.path}")


def _may_take_out_of_service(operation):
    # Only these edits have to include the live servers.
    level = operation.path.partition("/")[0]
    return isinstance(operation, SetValue) and level in ("", "domains", "servers")
