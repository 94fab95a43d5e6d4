"""The request of a caller as the entry node routes it."""

import math

import msgspec

from sapphireway_state import Policy


class Call(msgspec.Struct, frozen=True):
    """One request of a caller at its entry node.

    Attributes
    ----------
    call_id : str
        Unique id assigned by the entry node.
    service, kind : str
    method, target : str
        HTTP request line; the target includes the query.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
    deadline_s : float
        Reading of the event loop's clock by which the caller expects the answer.
    key : str or None
        Idempotency key.
    target_s : float
        Reading of the event loop's clock by which an answer meets the target latency;
        infinite if there is no target.
    policy : Policy
        Settings in force for the service and kind when the call arrived.
    workspace : str
        Workspace of the caller; "" if the routing table has none.
    """

    call_id: str
    service: str
    kind: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    key: str | None
    policy: Policy
    target_s: float = math.inf
    workspace: str = ""
