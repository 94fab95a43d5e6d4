"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._call import Call
from sapphireway_coordination._control_client import ControlClient
from sapphireway_coordination._members import GetMembers, Member
from sapphireway_coordination._quorum import Quorum
from sapphireway_coordination._quorum_types import (
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
    "Call",
    "Committed",
    "ControlClient",
    "Current",
    "GetMembers",
    "Member",
    "NotLeader",
    "Quorum",
    "QuorumSettings",
    "QuorumStatus",
    "Role",
    "StateMachine",
    "Unavailable",
]
