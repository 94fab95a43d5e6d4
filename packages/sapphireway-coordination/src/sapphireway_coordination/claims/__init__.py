"""Replicated claims of idempotency keys, so that a request runs at most once."""

from sapphireway_coordination.claims._claimant import (
    KEY_MAX_BYTES,
    Claimant,
    ClaimDelivered,
    ClaimEnd,
    ClaimEnded,
    Dispatch,
)
from sapphireway_coordination.claims._client import (
    Fences,
)
from sapphireway_coordination.claims._controller import (
    ClaimGroupController,
    GroupControllerSettings,
    GroupProposed,
    ProposeCommand,
)
from sapphireway_coordination.claims._group import (
    ClaimGroupMachine,
    GroupChange,
    GroupChangeResult,
)
from sapphireway_coordination.claims._holder import (
    ClaimHolder,
    HolderChanged,
    HolderSettings,
    HolderState,
    ReadGroup,
)

__all__ = [
    "KEY_MAX_BYTES",
    "ClaimDelivered",
    "ClaimEnd",
    "ClaimEnded",
    "ClaimGroupController",
    "ClaimGroupMachine",
    "ClaimHolder",
    "Claimant",
    "Dispatch",
    "Fences",
    "GroupChange",
    "GroupChangeResult",
    "GroupControllerSettings",
    "GroupProposed",
    "HolderChanged",
    "HolderSettings",
    "HolderState",
    "ProposeCommand",
    "ReadGroup",
]
