"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._call import Call
from sapphireway_coordination._claim_client import Fences
from sapphireway_coordination._claim_group import (
    ClaimGroupMachine,
    GroupChange,
    GroupChangeResult,
)
from sapphireway_coordination._claim_holder import (
    ClaimHolder,
    HolderChanged,
    HolderSettings,
    HolderState,
    ReadGroup,
)
from sapphireway_coordination._claim_keeper import (
    ClaimKeeper,
    GroupProposed,
    KeeperSettings,
    Propose,
)
from sapphireway_coordination._claims import (
    KEY_MAX_BYTES,
    Claimant,
    ClaimDelivered,
    ClaimEnd,
    ClaimEnded,
    Dispatch,
)
from sapphireway_coordination._members import GetMembers, Member

__all__ = [
    "KEY_MAX_BYTES",
    "Call",
    "ClaimDelivered",
    "ClaimEnd",
    "ClaimEnded",
    "ClaimGroupMachine",
    "ClaimHolder",
    "ClaimKeeper",
    "Claimant",
    "Dispatch",
    "Fences",
    "GetMembers",
    "GroupChange",
    "GroupChangeResult",
    "GroupProposed",
    "HolderChanged",
    "HolderSettings",
    "HolderState",
    "KeeperSettings",
    "Member",
    "Propose",
    "ReadGroup",
]
