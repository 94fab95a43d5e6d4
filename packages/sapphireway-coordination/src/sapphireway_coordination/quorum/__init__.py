"""Consensus of the control hosts on one replicated journal."""

from sapphireway_coordination.quorum._quorum import (
    Quorum,
)
from sapphireway_coordination.quorum._types import (
    Committed,
    Current,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    ReadResult,
    Role,
    StateMachine,
    Unavailable,
)

__all__ = [
    "Committed",
    "Current",
    "NotLeader",
    "Quorum",
    "QuorumSettings",
    "QuorumStatus",
    "ReadResult",
    "Role",
    "StateMachine",
    "Unavailable",
]
