"""The operator's address: settings, status, explanations and metrics as JSON."""

import hmac
from typing import Any

import msgspec
from tornado.web import Application, Finish, RequestHandler

from sapphireway._operator_backend import (
    ChangeRefused,
    OperatorBackend,
    Unavailable,
)
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
LIMIT_MAX = 1_000

STATUS_BY_ANSWER = {
    Accepted: 200,
    Conflict: 409,
    Refused: 422,
    TooOld: 410,
    ForceNeeded: 412,
}


def make_operator_application(backend: OperatorBackend) -> Application:
    """Return the application of the admin address.

    Its server should be made with ``max_body_size=OPERATOR_BODY_MAX_BYTES``.
    """
    arguments = {"backend": backend}
    routes = [
        ("/v1/settings", SettingsHandler),
        ("/v1/edits", EditsHandler),
        ("/v1/history", HistoryHandler),
        ("/v1/changes", ChangesHandler),
        ("/v1/status", StatusHandler),
        ("/v1/control-hosts", ControlHostsHandler),
        ("/v1/explanations", ExplanationsHandler),
        ("/v1/traces", TracesHandler),
        ("/metrics", MetricsHandler),
        ("/metrics/histograms", HistogramsHandler),
        ("/health", HealthHandler),
    ]
    return Application(
        [(path, handler, arguments) for path, handler in routes],
        default_handler_class=UnknownHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


class OperatorHandler(RequestHandler):
    """Answers in JSON, errors too."""

    def initialize(self, backend):
        """Keep the seam to the node."""
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
        """Send what the framework refuses, as JSON."""
        self.reply(ErrorReply("bad_request", self._reason), status_code)

    def get_number(self, name: str, default: int, maximum: int = 2**62) -> int:
        """Return a query argument that is an integer from 0 on."""
        text = self.get_query_argument(name, str(default))
        if not (text.isascii() and text.isdigit() and len(text) < 20):
            self.fail(400, "bad_request", f"{name}: {text!r} is not an integer")
        return min(int(text), maximum)

    async def read(self, query) -> Any:
        """Return the control hosts' answer to a query."""
        content = await self.backend.read(encode_query(query))
        if isinstance(content, Unavailable) or not content:
            detail = content.detail if content else "the control host is older"
            self.fail(503, "unavailable", detail)
        return decode_result(content)

    async def read_view(self) -> SettingsView:
        """Return the current tree, or the one in force here if asked for."""
        if self.get_query_argument("local", "0") == "1":
            return self.backend.get_view()
        current: CurrentTree = await self.read(ReadTree())
        return SettingsView(current.tree, current.version)

    def require_token(self) -> None:
        """Refuse the request unless it carries the operator's token."""
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
            detail = "this node has no token_file, so it changes nothing"
        self.fail(401, "unauthorized", detail)


class SettingsHandler(OperatorHandler):
    """Reads the tree, or one path of it with what is in force there."""

    async def get(self):
        """Answer with a `SettingsReply`."""
        view = await self.read_view()
        path = self.get_query_argument("path", "").strip("/")
        sources = explain_path(view, path) if path else []
        value = get_value(view, path)
        if sources is None and value is None:
            self.fail(404, "not_found", f"nothing is set at {path!r}")
        self.reply(SettingsReply(view.version, path, value, sources or []))


class EditsHandler(OperatorHandler):
    """Changes the tree."""

    async def post(self):
        """Propose one edit and answer with the machine's answer."""
        self.require_token()
        edit = await self._build_edit(self._parse_request())
        try:
            command = encode_edit(edit)
        except (OverflowError, ValueError, RecursionError) as error:
            self.fail(400, "bad_request", str(error))
        content = await self.backend.propose(command)
        if isinstance(content, Unavailable):
            error = "unknown" if content.may_have_run else "unavailable"
            self.fail(503, error, content.detail)
        answer = decode_answer(content)
        self.reply(answer, STATUS_BY_ANSWER[type(answer)])

    def _parse_request(self):
        try:
            request = msgspec.json.decode(self.request.body, type=EditRequest)
        except (msgspec.MsgspecError, RecursionError) as error:
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
            self.backend.read_time_s(),
            request.force,
        )
        if not any(map(_may_take_out, request.operations)):
            return edit
        live = await self.backend.list_live()
        return msgspec.structs.replace(edit, live=live)


class HistoryHandler(OperatorHandler):
    """Tells who changed what and when."""

    async def get(self):
        """Answer with a `History`."""
        limit = self.get_number("limit", 100, LIMIT_MAX)
        self.reply(await self.read(ReadHistory(limit, self.get_number("before", 0))))


class ChangesHandler(OperatorHandler):
    """Tells what differs between two versions."""

    async def get(self):
        """Answer with `Changes`."""
        since = self.get_number("since", 0)
        self.reply(await self.read(ReadChanges(since, self.get_number("until", 0))))


class StatusHandler(OperatorHandler):
    """Tells what this node knows of nodes and servers."""

    async def get(self):
        """Answer with a `StatusReport`."""
        self.reply(await self.backend.get_status())


class ControlHostsHandler(OperatorHandler):
    """Tells and changes who the control hosts are."""

    async def get(self):
        """Answer with a `ControlHostsReport`."""
        self.reply(await self.backend.list_control_hosts())

    async def post(self):
        """Add and remove control hosts, and answer with all of them."""
        self.require_token()
        change = self._parse_change()
        result = await self.backend.change_control_hosts(change)
        if isinstance(result, ChangeRefused):
            if result.force_helps:
                self.fail(412, "force_needed", result.detail)
            self.fail(422, "refused", result.detail)
        self._log_change(change, isinstance(result, ControlHostsReport))
        if isinstance(result, Unavailable):
            error = "unknown" if result.may_have_run else "unavailable"
            self.fail(503, error, result.detail)
        self.reply(result)

    def _parse_change(self):
        try:
            change = msgspec.json.decode(self.request.body, type=ControlHostsChange)
        except (msgspec.MsgspecError, RecursionError) as error:
            self.fail(400, "bad_request", str(error))
        fault = find_request_error(change)
        if fault is not None:
            self.fail(400, "bad_request", fault)
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
    """Tells recent decisions with their reasons."""

    async def get(self):
        """Answer with flat objects, newest first."""
        filters = [
            self.get_query_argument(name, None)
            for name in ("service", "server", "call")
        ]
        self.reply(self.backend.get_explanations(*filters))


class TracesHandler(OperatorHandler):
    """Tells recent spans."""

    async def get(self):
        """Answer with spans, newest first."""
        limit = self.get_number("limit", 100, LIMIT_MAX)
        trace = self.get_query_argument("trace", None)
        self.reply(self.backend.get_traces(trace, limit))


class MetricsHandler(OperatorHandler):
    """Metrics in the Prometheus text format."""

    async def get(self):
        """Answer with the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.backend.render_metrics())


class HistogramsHandler(OperatorHandler):
    """Latency histograms in an encoding that can be merged over nodes."""

    async def get(self):
        """Answer with a list of names, labels and encoded histograms."""
        self.reply(self.backend.export_histograms())


class HealthHandler(OperatorHandler):
    """Tells whether this node is well."""

    async def get(self):
        """Answer 200, or 503 with the faults."""
        faults = self.backend.get_faults()
        self.reply({"healthy": not faults, "faults": faults}, 503 if faults else 200)


class UnknownHandler(OperatorHandler):
    """Answers requests for any other path."""

    async def prepare(self):
        """Refuse the request."""
        self.fail(404, "not_found", f"no such path: {self.request.path}")


def _may_take_out(operation):
    # Only such edits need to carry the live servers.
    level = operation.path.partition("/")[0]
    return isinstance(operation, SetValue) and level in ("", "domains", "servers")
