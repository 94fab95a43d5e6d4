"""Events of quotas, for metrics, logs and ``explain``."""

from collections.abc import Callable
from dataclasses import dataclass

from sapphireway_protocol import NotRunReason


@dataclass(slots=True, frozen=True)
class QuotaRefused:
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


@dataclass(slots=True, frozen=True)
class TokenOwnerChanged:
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
