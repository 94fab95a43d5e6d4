"""Settings in force: the state machine, its clients and how versions spread."""

from sapphireway_coordination.settings._control_client import (
    ControlClient,
)
from sapphireway_coordination.settings._control_machine import (
    GROUP_PREFIX,
    ROUTE_PREFIX,
    TREE_PREFIX,
    ControlMachine,
)
from sapphireway_coordination.settings._in_force import (
    AppliedState,
)
from sapphireway_coordination.settings._settings_channel import (
    SettingsChannel,
)

__all__ = [
    "GROUP_PREFIX",
    "ROUTE_PREFIX",
    "TREE_PREFIX",
    "AppliedState",
    "ControlClient",
    "ControlMachine",
    "SettingsChannel",
]
