"""Rollouts: moves a service's traffic to servers of a new version, or back."""

from sapphireway_coordination.rollouts._controller import (
    RolloutController,
    RolloutDecided,
    RolloutHeld,
)
from sapphireway_coordination.rollouts._decision import (
    Action,
    Decision,
    decide,
)
from sapphireway_coordination.rollouts._evidence import (
    LATENCY_BOUNDS_MS,
    Evidence,
    KindStats,
    LatencyCounts,
    Sample,
    count_slow,
    find_slow_bound,
)
from sapphireway_coordination.rollouts._reporter import (
    REPORT_INTERVAL_S,
    ReportedServer,
    VersionReporter,
)

__all__ = [
    "LATENCY_BOUNDS_MS",
    "REPORT_INTERVAL_S",
    "Action",
    "Decision",
    "Evidence",
    "KindStats",
    "LatencyCounts",
    "ReportedServer",
    "RolloutController",
    "RolloutDecided",
    "RolloutHeld",
    "Sample",
    "VersionReporter",
    "count_slow",
    "decide",
    "find_slow_bound",
]
