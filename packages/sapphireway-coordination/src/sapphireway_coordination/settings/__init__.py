"""Replicated settings: state machine, clients and propagation between nodes."""

from sapphireway_coordination.settings._applied_state import (
    AppliedState,
)
from sapphireway_coordination.settings._confirmation import (
    Confirmation,
    ConfirmationLost,
    ConfirmationRegained,
)
from sapphireway_coordination.settings._confirmation_source import (
    ConfirmationSource,
)
from sapphireway_coordination.settings._control_client import (
    ControlClient,
)
from sapphireway_coordination.settings._control_machine import (
    GROUP_PREFIX,
    ROLLOUT_PREFIX,
    ROUTE_PREFIX,
    TREE_PREFIX,
    ControlMachine,
)
from sapphireway_coordination.settings._settings_channel import (
    SettingsChannel,
)

__all__ = [
    "GROUP_PREFIX",
    "ROLLOUT_PREFIX",
    "ROUTE_PREFIX",
    "TREE_PREFIX",
    "AppliedState",
    "Confirmation",
    "ConfirmationLost",
    "ConfirmationRegained",
    "ConfirmationSource",
    "ControlClient",
    "ControlMachine",
    "SettingsChannel",
]
