"""Identification of callers by their API keys."""

import enum
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from sapphireway_coordination import Call
from sapphireway_protocol import NotRun
from sapphireway_state import RouteView, Workspace, digest_access_key

TOP_PRIORITY_WEIGHT = 100  # largest weight in the tree; each lower rank has one less

Confirm = Callable[[float, bool], Awaitable[NotRun | None]]
"""Called with the deadline of a request that carries a key, on the event loop's clock.

Returns None if the routing table in force is recent enough to judge the key. The second
argument asks for a recent confirmation, as an unknown key may be a new one.
"""

Admit = Callable[[Workspace, float], Awaitable[NotRun | None]]
"""Called with an identified request's workspace and deadline; None admits it."""


class KeyProblem(enum.StrEnum):
    """Why a request's API key was not accepted."""

    MISSING = "api_key_missing"
    UNKNOWN = "api_key_unknown"


class KeyRefused(msgspec.Struct, frozen=True):
    """A request was refused because of its API key.

    Attributes
    ----------
    call_id, service, kind : str
    reason : KeyProblem
    key_digest : str
        Start of the key's SHA-256; "" if the request has no key.
    """

    call_id: str
    service: str
    kind: str
    reason: KeyProblem
    key_digest: str


class CallUnadmitted(msgspec.Struct, frozen=True):
    """A request was refused after its route was found and before it was dispatched.

    Attributes
    ----------
    call_id, service, kind : str
    workspace : str
        "" if it is not known.
    reason : NotRunReason
    retry_after_s : float
    detail : str
    """

    call_id: str
    service: str
    kind: str
    workspace: str
    reason: str
    retry_after_s: float
    detail: str


class Unadmitted(msgspec.Struct, frozen=True):
    """A request that must not be run now.

    Attributes
    ----------
    call : Call
        Its workspace is "" if it is not known.
    refusal : NotRun
    """

    call: Call
    refusal: NotRun


Identify = Callable[
    [Call, str | None, Callable[[], bool]], Awaitable[Call | Unadmitted | KeyRefused]
]
"""Called with a call, its API key, and a function that tells whether its route is open.

The function is called again after each pause, as another table may be in force then.
Returns the call as the server gets it, or why it is refused.
"""


async def admit_all(workspace: Workspace, deadline_s: float) -> NotRun | None:
    """Admit every request."""
    return None


async def confirm_all(deadline_s: float, recent: bool) -> NotRun | None:
    """Take every routing table for recent enough."""
    return None


def make_identify(
    get_routes: Callable[[], RouteView],
    access_header: str,
    workspace_header: str,
    confirm: Confirm = confirm_all,
    admit: Admit = admit_all,
    observe: Callable[[Any], None] = lambda event: None,
) -> Identify:
    """Return a function that identifies callers by their keys.

    A table without workspaces needs no key. Like an unknown key, it may only be older
    than the key, so a request with one is not run until the table is confirmed.

    Parameters
    ----------
    get_routes : callable
        Returns the `RouteView` in force.
    access_header, workspace_header : str
        Header with the caller's key, and header that tells servers the workspace.
    confirm : Confirm
    admit : Admit
    observe : callable
        Called with `KeyRefused` and `CallUnadmitted`.
    """
    replaced = frozenset(map(_normalize, (access_header, workspace_header)))

    def refuse_key(call, reason, key_digest):
        refused = KeyRefused(call.call_id, call.service, call.kind, reason, key_digest)
        observe(refused)
        return refused

    def refuse_call(call, workspace, not_run):
        observe(
            CallUnadmitted(
                call.call_id,
                call.service,
                call.kind,
                workspace.name if workspace else "",
                not_run.reason,
                not_run.retry_after_s,
                not_run.detail,
            )
        )
        call = _set_workspace(call, workspace, workspace_header, replaced)
        return Unadmitted(call, not_run)

    async def identify(
        call: Call, key: str | None, is_open: Callable[[], bool]
    ) -> Call | Unadmitted | KeyRefused:
        def needs_key():
            return bool(get_routes().table.workspaces) and not is_open()

        if not key and needs_key():
            return refuse_key(call, KeyProblem.MISSING, "")
        workspace = None
        if key:
            unconfirmed = await confirm(call.deadline_s, False)
            # The key is looked up after the confirmation, which holds for the table
            # that is in force now, but maybe not for the one before the wait.
            workspace = get_routes().find_workspace(key)
            if workspace is None and not unconfirmed:
                # A node that was cut off lately may not know a new key yet.
                unconfirmed = await confirm(call.deadline_s, True)
                workspace = get_routes().find_workspace(key)
            if unconfirmed:
                return refuse_call(call, workspace, unconfirmed)
            if workspace is None and needs_key():
                return refuse_key(call, KeyProblem.UNKNOWN, digest_access_key(key))
        if workspace is not None:
            not_admitted = await admit(workspace, call.deadline_s)
            if not_admitted:
                return refuse_call(call, workspace, not_admitted)
        return _set_workspace(call, workspace, workspace_header, replaced)

    return identify


def decode_access_key(value: str | None) -> str | None:
    """Return the API key in a header value, whose bytes were read as Latin-1."""
    if value is None or value.isascii():
        return value
    return value.encode("latin-1").decode("utf-8", "replace")


def compute_weight(priority: int) -> int:
    """Return the weight of a priority; 0 is the highest priority."""
    return max(1, TOP_PRIORITY_WEIGHT - priority)


def _set_workspace(call, workspace, workspace_header, replaced):
    headers = _remove_headers(call.headers, replaced)
    if workspace is None:
        return msgspec.structs.replace(call, headers=headers)
    name = workspace.name.encode().decode("latin-1")
    policy = call.policy
    if workspace.priority is not None:
        weight = compute_weight(workspace.priority)
        # A copy of a policy costs more than all else here.
        if weight != policy.weight:
            policy = msgspec.structs.replace(policy, weight=weight)
    return msgspec.structs.replace(
        call,
        headers=(*headers, (workspace_header, name)),
        policy=policy,
        workspace=workspace.name,
    )


def _remove_headers(
    headers: Iterable[tuple[str, str]], names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    return tuple(pair for pair in headers if _normalize(pair[0]) not in names)


def _normalize(name):
    # Many servers read an underscore in a header name as a hyphen.
    return name.lower().replace("_", "-")
