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
from sapphireway_protocol._clocks import PeerClock, PeerClocks
from sapphireway_protocol._codec import Codec, Envelope
from sapphireway_protocol._membership import (
    LeaseEntry,
    ListNodes,
    NodeEntry,
    NodeList,
    NodeStatus,
    Renew,
    Renewed,
    ServerEntry,
    SyncedLeases,
    SyncLeases,
)
from sapphireway_protocol._outcomes import (
    Answered,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from sapphireway_protocol._peers import Peers
from sapphireway_protocol._settings import FetchSettings, SettingsInForce

__all__ = [
    "Answered",
    "Cancel",
    "Codec",
    "Envelope",
    "Failed",
    "FetchSettings",
    "LeaseEntry",
    "ListNodes",
    "LoadReport",
    "NodeEntry",
    "NodeList",
    "NodeStatus",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "PeerClock",
    "PeerClocks",
    "Peers",
    "Probe",
    "ProbeReply",
    "Renew",
    "Renewed",
    "Reply",
    "Revoke",
    "Revoked",
    "Run",
    "ServerEntry",
    "ServerState",
    "SettingsInForce",
    "SyncLeases",
    "SyncedLeases",
    "Unknown",
]
