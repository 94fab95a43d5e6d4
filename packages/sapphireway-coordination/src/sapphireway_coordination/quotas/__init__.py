"""Rate limits of workspaces, shared by all nodes."""

from sapphireway_coordination.quotas._ages import AgeClock
from sapphireway_coordination.quotas._client import QuotaClient, QuotaCounts
from sapphireway_coordination.quotas._events import (
    ObserveQuotas,
    QuotaRefused,
    TokenOwnerChanged,
)
from sapphireway_coordination.quotas._ledger import TokenLedger
from sapphireway_coordination.quotas._owner import QuotaOwner
from sapphireway_coordination.quotas._stock import TokenStock

__all__ = [
    "AgeClock",
    "ObserveQuotas",
    "QuotaClient",
    "QuotaCounts",
    "QuotaOwner",
    "QuotaRefused",
    "TokenLedger",
    "TokenOwnerChanged",
    "TokenStock",
]
