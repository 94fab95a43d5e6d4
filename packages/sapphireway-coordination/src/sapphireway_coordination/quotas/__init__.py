"""Rate limits of workspaces, shared by all nodes."""

from sapphireway_coordination.quotas._ages import AgeClock
from sapphireway_coordination.quotas._ledger import TokenLedger
from sapphireway_coordination.quotas._stock import TokenStock

__all__ = ["AgeClock", "TokenLedger", "TokenStock"]
