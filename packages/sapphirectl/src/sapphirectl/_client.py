"""Requests to the operator interface of nodes, with failover between them."""

import time
import urllib.parse
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from sapphirectl._exits import ExitCode, Failure
from sapphirectl._http import NoResponse, Response, send_request
from sapphirectl._options import Connection, EditOptions
from sapphireway_protocol import DECODE_ERRORS
from sapphireway_state import (
    Accepted,
    Answer,
    Conflict,
    ControlHostsChange,
    ControlHostsReport,
    EditRequest,
    ErrorReply,
    ForceNeeded,
    Operation,
    Problem,
    Refused,
    RolloutOrdered,
    RolloutRequest,
    SettingsReply,
    format_problem,
    read_token,
)

TRIES_PER_NODE = 3
ROUND_PAUSE_S = 0.5

Result = TypeVar("Result")


def fetch(
    connection: Connection, path: str, result_type: type[Result], /, **query: Any
) -> Result | Failure:
    """Return the decoded answer of the first node that has one.

    The query leaves out arguments that are None.
    """
    parameters = {name: value for name, value in query.items() if value is not None}
    if parameters:
        path = f"{path}?{urllib.parse.urlencode(parameters)}"
    errors = []
    for node in tuple(connection.nodes):
        response = send_request(node, "GET", path, None, None, connection.timeout_s)
        if isinstance(response, NoResponse):
            connection.demote(node)
            errors.append(response.detail)
        elif response.status == 200:
            return _decode(node, response, result_type)
        elif response.status < 500:
            return Failure(
                ExitCode.REFUSED, f"{node}: {_decode_error(response).detail}"
            )
        else:
            errors.append(f"{node}: {_decode_error(response).detail}")
    if not errors:
        return _fail_without_nodes()
    return Failure(ExitCode.UNREACHABLE, "\n".join(errors))


def read_tree(connection: Connection) -> SettingsReply | Failure:
    """Return the current settings tree with its version."""
    reply = fetch(connection, "/v1/settings", SettingsReply)
    if isinstance(reply, SettingsReply) and reply.value is None:
        return msgspec.structs.replace(reply, value={})
    return reply


def submit_edit(
    connection: Connection,
    options: EditOptions,
    base: int,
    operations: Sequence[Operation],
    *,
    force: bool = False,
) -> Accepted | Failure:
    """Send an edit to one node after another until one returns its answer.

    Every attempt carries the same edit id, so the edit is accepted at most once
    and a repeated attempt returns the first answer.
    """
    token = _load_token(options.token_file)
    if isinstance(token, Failure):
        return token
    body = msgspec.json.encode(
        EditRequest(
            options.edit_id,
            base,
            list(operations),
            options.operator,
            options.reason,
            force,
        )
    )
    sent = _send_until_answered(connection, "/v1/edits", body, token)
    if isinstance(sent, _Unanswered):
        return _fail_without_answer(sent.errors, sent.maybe_applied, options, base)
    node, response = sent
    return _interpret_response(node, response)


def submit_control_change(
    connection: Connection, token_file: str | None, change: ControlHostsChange
) -> ControlHostsReport | Failure:
    """Send a change of the control hosts until a node may have applied it."""
    token = _load_token(token_file)
    if isinstance(token, Failure):
        return token
    body = msgspec.json.encode(change)
    errors = []
    for node in tuple(connection.nodes):
        response = send_request(
            node, "POST", "/v1/control-hosts", body, token, connection.timeout_s
        )
        if isinstance(response, NoResponse):
            errors.append(response.detail)
            maybe_applied = response.sent
        elif response.status == 200:
            return _decode(node, response, ControlHostsReport)
        elif response.status < 500:
            return _describe_change_refusal(node, response)
        else:
            error = _decode_error(response)
            errors.append(f"{node}: {error.detail}")
            maybe_applied = error.error != "unavailable"
        if maybe_applied:
            detail = "The change may have been made: see `control list`."
            return Failure(ExitCode.UNKNOWN, "\n".join([*errors, detail]))
    if not errors:
        return _fail_without_nodes()
    detail = "\n".join([*errors, "Nothing was changed."])
    return Failure(ExitCode.UNREACHABLE, detail)


def submit_rollout(
    connection: Connection, token_file: str | None, request: RolloutRequest
) -> RolloutOrdered | Failure:
    """Send an order to one node after another until one acknowledges it.

    The same order is acknowledged again, so it can be repeated.
    """
    token = _load_token(token_file)
    if isinstance(token, Failure):
        return token
    body = msgspec.json.encode(request)
    sent = _send_until_answered(connection, "/v1/rollouts", body, token)
    if isinstance(sent, _Unanswered):
        return _fail_without_rollout(sent)
    node, response = sent
    if response.status == 200:
        return _decode(node, response, RolloutOrdered)
    return _describe_rollout_refusal(node, response)


@dataclass(slots=True, frozen=True)
class _Unanswered:
    """No node answered a change, or none with a status below 500.

    Attributes
    ----------
    errors : list of str
    maybe_applied : bool
        Whether a node may have applied the change nevertheless.
    """

    errors: list[str]
    maybe_applied: bool


def _send_until_answered(connection, path, body, token):
    """Return the node that answered a change and its response, or `_Unanswered`."""
    errors = []
    maybe_applied = False
    nodes = tuple(connection.nodes)
    for attempt in range(TRIES_PER_NODE * len(nodes)):
        if attempt and attempt % len(nodes) == 0:
            time.sleep(ROUND_PAUSE_S)
        node = nodes[attempt % len(nodes)]
        response = send_request(node, "POST", path, body, token, connection.timeout_s)
        if isinstance(response, NoResponse):
            maybe_applied |= response.sent
            errors.append(response.detail)
        elif response.status < 500:
            return node, response
        else:
            error = _decode_error(response)
            maybe_applied |= error.error != "unavailable"
            errors.append(f"{node}: {error.detail}")
    return _Unanswered(errors, maybe_applied)


def _fail_without_rollout(unanswered):
    if not unanswered.errors:
        return _fail_without_nodes()
    messages = "\n".join(dict.fromkeys(unanswered.errors))
    if unanswered.maybe_applied:
        detail = "The order may have been accepted; it can be repeated."
        return Failure(ExitCode.UNKNOWN, f"{messages}\n{detail}")
    return Failure(ExitCode.UNREACHABLE, f"{messages}\nNothing was ordered.")


def _describe_rollout_refusal(node, response):
    codes = {401: ExitCode.UNAUTHORIZED, 409: ExitCode.CONFLICT}
    code = codes.get(response.status, ExitCode.REFUSED)
    return Failure(code, f"{node}: {_decode_error(response).detail}")


def _describe_change_refusal(node, response):
    error = _decode_error(response)
    if response.status == 412:
        detail = f"{error.detail}\nRepeat with --force to do it anyway."
        return Failure(ExitCode.FORCE_NEEDED, detail)
    unauthorized = response.status == 401
    code = ExitCode.UNAUTHORIZED if unauthorized else ExitCode.REFUSED
    return Failure(code, f"{node}: {error.detail}")


def _load_token(path):
    if path is None:
        detail = "no token: give --token-file or set SAPPHIREWAY_TOKEN_FILE"
        return Failure(ExitCode.UNAUTHORIZED, detail)
    token = read_token(path)
    if isinstance(token, Problem):
        return Failure(ExitCode.UNAUTHORIZED, format_problem(token))
    return token


def _interpret_response(node: str, response: Response):
    if response.status == 401:
        detail = f"{node}: {_decode_error(response).detail}"
        return Failure(ExitCode.UNAUTHORIZED, detail)
    try:
        answer = msgspec.json.decode(response.body, type=Answer)
    except DECODE_ERRORS:
        return Failure(ExitCode.REFUSED, f"{node}: {_decode_error(response).detail}")
    if isinstance(answer, Accepted):
        return answer
    return _describe_refusal(answer)


def _describe_refusal(answer):
    if isinstance(answer, Conflict):
        lines = [
            f"Version {answer.version} is current, not {answer.base}. Since then:",
            *(format_change(change) for change in answer.changes),
        ]
        if answer.omitted:
            count = answer.omitted if answer.omitted > 0 else "an unknown number of"
            lines.append(f"  and {count} more")
        return Failure(ExitCode.CONFLICT, "\n".join(lines))
    if isinstance(answer, Refused):
        return Failure(
            ExitCode.REFUSED, "\n".join(map(format_problem, answer.problems))
        )
    if isinstance(answer, ForceNeeded):
        return Failure(ExitCode.FORCE_NEEDED, _describe_lost_services(answer))
    detail = (
        f"The edit is based on a version before {answer.oldest_base}; its answer may "
        "no longer be stored. Look for its id in the history."
    )
    return Failure(ExitCode.REFUSED, detail)


def _describe_lost_services(answer):
    if not answer.lost:
        return (
            "No live server is known, so what would be left cannot be determined.\n"
            "Repeat with --force to take it out anyway."
        )
    lines = ["These services would lose their last failure domain:"]
    for lost in answer.lost:
        lines.append(f"  {lost.service}, now in {', '.join(lost.domains)}")
    return "\n".join([*lines, "Repeat with --force to take it out anyway."])


def format_change(change) -> str:
    """Return a change as one line."""
    before = "unset" if change.before is None else change.before
    after = "unset" if change.after is None else change.after
    return f"  {change.path}: {before} -> {after}"


def _fail_without_answer(errors, maybe_applied, options, base):
    if not errors:
        return _fail_without_nodes()
    messages = "\n".join(dict.fromkeys(errors))
    if not maybe_applied:
        return Failure(ExitCode.UNREACHABLE, f"{messages}\nNothing was changed.")
    detail = (
        f"{messages}\nThe edit may have been accepted. To get its answer, repeat the "
        f"command with: --edit-id {options.edit_id} --base {base}"
    )
    return Failure(ExitCode.UNKNOWN, detail)


def _fail_without_nodes():
    detail = "no node given: use --node or set SAPPHIREWAY_NODES"
    return Failure(ExitCode.USAGE, detail)


def _decode(node, response, result_type):
    try:
        return msgspec.json.decode(response.body, type=result_type)
    except DECODE_ERRORS as error:
        return Failure(ExitCode.ERROR, f"{node}: cannot decode the answer: {error}")


def _decode_error(response):
    try:
        return msgspec.json.decode(response.body, type=ErrorReply)
    except DECODE_ERRORS:
        return ErrorReply("unknown", f"HTTP status {response.status}")
