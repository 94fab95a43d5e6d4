"""Consensus of the control hosts on one replicated journal."""

from typing import Any

from sapphireway_coordination.quorum._types import (
    Committed,
    Current,
    DiskFailureSeen,
    DiskReopened,
    EntriesUnanswered,
    JoinAnswered,
    MembersProposed,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    ReadResult,
    Role,
    SnapshotNotSaved,
    StateMachine,
    Unavailable,
)

__all__ = [
    "Committed",
    "Current",
    "DiskFailureSeen",
    "DiskReopened",
    "EntriesUnanswered",
    "JoinAnswered",
    "MembersProposed",
    "NotLeader",
    "Quorum",
    "QuorumSettings",
    "QuorumStatus",
    "ReadResult",
    "Role",
    "SnapshotNotSaved",
    "StateMachine",
    "Unavailable",
]


def __getattr__(name: str) -> Any:
    # Loaded at its first use, as only control hosts need it.
    if name != "Quorum":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from sapphireway_coordination.quorum._quorum import Quorum

    return Quorum
