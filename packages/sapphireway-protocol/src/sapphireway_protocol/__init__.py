"""Typed messages between nodes, the outcomes of a call, and their codec."""

from sapphireway_protocol._calls import (
    Cancel,
    LoadReport,
    Probe,
    ProbeReply,
    Reply,
    Revoke,
    Revoked,
    Run,
    ServerState,
)
from sapphireway_protocol._codec import Codec, Envelope
from sapphireway_protocol._outcomes import (
    Answered,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from sapphireway_protocol._peers import Peers
from sapphireway_protocol._suspects import (
    AskRerun,
    ClearSuspect,
    GrantRerun,
    ListSuspects,
    MarkSuspect,
    ReturnRerun,
    SuspectAck,
    SuspectList,
)

__all__ = [
    "Answered",
    "AskRerun",
    "Cancel",
    "ClearSuspect",
    "Codec",
    "Envelope",
    "Failed",
    "GrantRerun",
    "ListSuspects",
    "LoadReport",
    "MarkSuspect",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "Peers",
    "Probe",
    "ProbeReply",
    "Reply",
    "ReturnRerun",
    "Revoke",
    "Revoked",
    "Run",
    "ServerState",
    "SuspectAck",
    "SuspectList",
    "Unknown",
]
