"""The node beside a server: admission, slots, cold start, drain."""

from sapphireway_coordination.gate._announcement import (
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
)
from sapphireway_coordination.gate._events import (
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
    ServerCold,
    ServerLeft,
    ServerWarmed,
)
from sapphireway_coordination.gate._gate import (
    Gate,
    GateState,
)
from sapphireway_coordination.gate._health import (
    ask_health,
)
from sapphireway_coordination.gate._own_server import (
    find_own_server,
)
from sapphireway_coordination.gate._self_report import (
    SelfReport,
)
from sapphireway_coordination.gate._server_form import (
    OWN_SERVER_FORM,
    ServerForm,
)
from sapphireway_coordination.gate._shutdown import (
    plan_stop,
)

__all__ = [
    "OWN_SERVER_FORM",
    "AnnounceAccepted",
    "AnnounceRefused",
    "AnnounceResult",
    "Announcement",
    "AttemptRefused",
    "AttemptRepeated",
    "AttemptServed",
    "AttemptStarted",
    "Gate",
    "GateChanged",
    "GateEvent",
    "GateState",
    "LimitChanged",
    "RelapseCause",
    "RelapseSeen",
    "SelfReport",
    "ServerAnnounced",
    "ServerCold",
    "ServerForm",
    "ServerLeft",
    "ServerWarmed",
    "ask_health",
    "find_own_server",
    "plan_stop",
]
