"""The `Run` message, which asks a server's node to run an attempt."""

import hashlib
import math

from sapphireway_coordination.routing._call import Call
from sapphireway_protocol import Run

DIGEST_BYTES = 16
DIGEST_BODY_BYTES = 65_536


def create_run(
    call: Call,
    attempt_id: str,
    digest: str,
    incarnation: str,
    clock_s: float | None,
    now_s: float,
    server_limit_per_s: float | None = None,
) -> Run:
    """Return the message for one attempt of `call`.

    Parameters
    ----------
    call : Call
    attempt_id : str
    digest : str
    incarnation : str
        Incarnation of the server's node that may run the attempt.
    clock_s : float or None
        Lower bound of the node's clock reading now; None if unknown.
    now_s : float
        This node's clock.
    server_limit_per_s : float or None
        Rate limit of the server, if one is known.
    """
    remaining_s = call.deadline_s - now_s
    return Run(
        attempt=attempt_id,
        call=call.call_id,
        service=call.service,
        kind=call.kind,
        method=call.method,
        target=call.target,
        headers=list(call.headers),
        idempotent=call.policy.idempotent,
        weight=call.policy.weight,
        digest=digest,
        budget_ms=remaining_s * 1000.0,
        latest_start_s=0.0 if clock_s is None else clock_s + remaining_s,
        incarnation=incarnation,
        target_ms=None if math.isinf(call.target_s) else (call.target_s - now_s) * 1e3,
        server_limit_per_s=server_limit_per_s,
    )


def compute_digest(call: Call) -> str:
    """Return a hash of the request; only the start of a long body is included."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.service, call.kind, call.method, call.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(len(call.body).to_bytes(8, "big"))
    digest.update(call.body[:DIGEST_BODY_BYTES])
    return digest.hexdigest()
