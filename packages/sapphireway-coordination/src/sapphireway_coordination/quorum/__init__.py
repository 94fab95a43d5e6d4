"""Agreement of the control hosts on one journal."""

from sapphireway_coordination.quorum._quorum import (
    Quorum,
)
from sapphireway_coordination.quorum._types import (
    Answer,
    Committed,
    Current,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    Role,
    StateMachine,
    Unavailable,
)

__all__ = [
    "Answer",
    "Committed",
    "Current",
    "NotLeader",
    "Quorum",
    "QuorumSettings",
    "QuorumStatus",
    "Role",
    "StateMachine",
    "Unavailable",
]
