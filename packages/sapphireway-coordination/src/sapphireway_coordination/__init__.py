"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._announcement import (
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
)
from sapphireway_coordination._call import Call
from sapphireway_coordination._gate import Gate, GateState
from sapphireway_coordination._gate_events import (
    AttemptRefused,
    AttemptRepeated,
    AttemptServed,
    AttemptStarted,
    GateChanged,
    GateEvent,
    LimitChanged,
    RelapseCause,
    RelapseSeen,
    ServerAnnounced,
    ServerLeft,
    ServerWarmed,
    SuspectChange,
    SuspectMarked,
)
from sapphireway_coordination._invariant import InvariantError, require
from sapphireway_coordination._members import GetMembers, Member

__all__ = [
    "AnnounceAccepted",
    "AnnounceRefused",
    "AnnounceResult",
    "Announcement",
    "AttemptRefused",
    "AttemptRepeated",
    "AttemptServed",
    "AttemptStarted",
    "Call",
    "Gate",
    "GateChanged",
    "GateEvent",
    "GateState",
    "GetMembers",
    "InvariantError",
    "LimitChanged",
    "Member",
    "RelapseCause",
    "RelapseSeen",
    "ServerAnnounced",
    "ServerLeft",
    "ServerWarmed",
    "SuspectChange",
    "SuspectMarked",
    "require",
]
