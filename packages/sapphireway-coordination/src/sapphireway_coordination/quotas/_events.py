"""Events of quotas, for metrics, logs and ``explain``."""

from collections.abc import Callable

import msgspec

from sapphireway_protocol import NotRunReason


class QuotaRefused(msgspec.Struct, frozen=True):
    """A request got no token.

    Attributes
    ----------
    workspace : str
    reason : NotRunReason
        ``QUOTA`` above the limit, ``UNCONFIRMED`` if the owner of the tokens did not
        answer in time.
    retry_after_s : float
    detail : str
        One line for humans.
    """

    workspace: str
    reason: NotRunReason
    retry_after_s: float
    detail: str


class TokenOwnerChanged(msgspec.Struct, frozen=True):
    """A host has begun to own the tokens of all workspaces, after its election.

    Attributes
    ----------
    term : int
    workspaces : int
        Number of workspaces with a limit.
    """

    term: int
    workspaces: int


ObserveQuotas = Callable[[QuotaRefused | TokenOwnerChanged], None]
"""Called with each event; must not block."""
