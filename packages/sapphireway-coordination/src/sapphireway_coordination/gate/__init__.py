"""The gate of a node beside one server: admission, limits, cold start, drain."""

from sapphireway_coordination.gate._announcement import (
    HEALTH_CONNECTIONS_MAX,
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
    Assignment,
    compute_cold_max,
)
from sapphireway_coordination.gate._discovery import (
    discover_local_server,
)
from sapphireway_coordination.gate._events import (
    AttemptRefused,
    AttemptRepeated,
    AttemptServed,
    AttemptStarted,
    DepartureNotified,
    GateChanged,
    GateEvent,
    HealthUnreadable,
    LimitChanged,
    RelapseCause,
    RelapseSeen,
    ReportUnreadable,
    ServerAnnounced,
    ServerCold,
    ServerLeft,
    ServerLimited,
    ServerWarmed,
)
from sapphireway_coordination.gate._exchange import (
    CANCELLED_DETAIL,
)
from sapphireway_coordination.gate._gate import (
    DEPARTURE_SPREAD_S,
    Gate,
    GateState,
)
from sapphireway_coordination.gate._health import (
    HealthClient,
)
from sapphireway_coordination.gate._report_headers import (
    ReportHeaders,
    parse_count,
    parse_decimal,
)
from sapphireway_coordination.gate._self_report import (
    SelfReport,
)
from sapphireway_coordination.gate._server_dialect import (
    DEFAULT_SERVER_DIALECT,
    ServerDialect,
)
from sapphireway_coordination.gate._shutdown import (
    ANSWER_TIME_S,
    compute_drain_time,
    compute_serve_time,
)

__all__ = [
    "ANSWER_TIME_S",
    "CANCELLED_DETAIL",
    "DEFAULT_SERVER_DIALECT",
    "DEPARTURE_SPREAD_S",
    "HEALTH_CONNECTIONS_MAX",
    "AnnounceAccepted",
    "AnnounceRefused",
    "AnnounceResult",
    "Announcement",
    "Assignment",
    "AttemptRefused",
    "AttemptRepeated",
    "AttemptServed",
    "AttemptStarted",
    "DepartureNotified",
    "Gate",
    "GateChanged",
    "GateEvent",
    "GateState",
    "HealthClient",
    "HealthUnreadable",
    "LimitChanged",
    "RelapseCause",
    "RelapseSeen",
    "ReportHeaders",
    "ReportUnreadable",
    "SelfReport",
    "ServerAnnounced",
    "ServerCold",
    "ServerDialect",
    "ServerLeft",
    "ServerLimited",
    "ServerWarmed",
    "compute_cold_max",
    "compute_drain_time",
    "compute_serve_time",
    "discover_local_server",
    "parse_count",
    "parse_decimal",
]
