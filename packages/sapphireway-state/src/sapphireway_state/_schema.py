"""Every setting of the tree: type, unit, bounds, and where it may be set."""

import enum
from dataclasses import dataclass, fields

from sapphireway_state._policy import Policy
from sapphireway_state._rules import (
    Rule,
    make_boolean,
    make_integer,
    make_list,
    make_number,
    make_pattern,
)

MIB = 1024 * 1024
HOUR_MS = 3_600_000
DAY_S = 86_400


class Scope(enum.StrEnum):
    """Levels of the tree at which a setting may be given."""

    ROOT = "root"
    DOMAIN = "domain"
    SERVICE = "service"
    KIND = "kind"
    SERVER = "server"


ANYWHERE = frozenset({Scope.ROOT, Scope.DOMAIN, Scope.SERVICE, Scope.KIND})
UNIFORM = frozenset({Scope.ROOT, Scope.SERVICE, Scope.KIND})
WHOLE_SERVICE = frozenset({Scope.ROOT, Scope.SERVICE})
PER_SERVICE = frozenset({Scope.ROOT, Scope.DOMAIN, Scope.SERVICE})


@dataclass(slots=True, frozen=True)
class Setting:
    """One setting of the tree.

    Attributes
    ----------
    name : str
        The same as the `Policy` attribute.
    rule : Rule
    scopes : frozenset of Scope
        Levels at which it may be given.
    description : str
    default : bool, int or float
        Value where no node of the tree gives one.
    """

    name: str
    rule: Rule
    scopes: frozenset[Scope]
    description: str
    default: bool | int | float


_DEFAULTS = {field.name: field.default for field in fields(Policy)}


def _describe(name, rule, scopes, description):
    return Setting(name, rule, scopes, description, _DEFAULTS[name])


_LIST = (
    _describe(
        "out",
        make_boolean(),
        frozenset({Scope.DOMAIN, Scope.SERVER}),
        "Gets no new work.",
    ),
    _describe(
        "idempotent",
        make_boolean(),
        frozenset({Scope.SERVICE, Scope.KIND}),
        "The request may run more than once.",
    ),
    _describe(
        "weight",
        make_integer(1, 100),
        UNIFORM,
        "Importance of the kind; light kinds are shed first.",
    ),
    _describe(
        "deadline_ms",
        make_integer(1, HOUR_MS, "ms"),
        ANYWHERE,
        "Time allowed if the caller names no deadline.",
    ),
    _describe(
        "deadline_max_ms",
        make_integer(1, HOUR_MS, "ms"),
        ANYWHERE,
        "Longest deadline that a caller may ask for; it bounds deadline_ms too.",
    ),
    _describe(
        "target_latency_ms",
        make_integer(0, HOUR_MS, "ms"),
        ANYWHERE,
        "Time within which an answer is worth most; 0 is none.",
    ),
    _describe(
        "body_max_bytes",
        make_integer(0, 1024 * MIB, "bytes"),
        ANYWHERE,
        "Largest body in either direction.",
    ),
    _describe(
        "attempts_max",
        make_integer(1, 10),
        ANYWHERE,
        "Most attempts of one call.",
    ),
    _describe(
        "retry_budget_percent",
        make_number(0, 100, "percent"),
        PER_SERVICE,
        "Retries and hedges as a share of a service's calls.",
    ),
    _describe(
        "hedge_percentile",
        make_number(0, 99.99, "percent"),
        ANYWHERE,
        "Latency percentile after which an idempotent call is hedged; 0 is never.",
    ),
    _describe(
        "panic_percent",
        make_number(0, 100, "percent"),
        PER_SERVICE,
        "Share of bad servers above which none is ejected any more.",
    ),
    _describe(
        "probe_rate_per_s",
        make_number(0, 1_000, "per second"),
        PER_SERVICE,
        "Most load probes that one node sends.",
    ),
    _describe(
        "load_stale_ms",
        make_integer(1, 60_000, "ms"),
        PER_SERVICE,
        "Age after which a load report is worth a probe.",
    ),
    _describe(
        "health_interval_ms",
        make_integer(0, 60_000, "ms"),
        PER_SERVICE,
        "Time between two questions of a node to its server; 0 asks nothing.",
    ),
    _describe(
        "crossing_ms_per_kb",
        make_number(0, 10_000, "ms"),
        ANYWHERE,
        "Delay that is borne rather than move a kilobyte to another failure domain.",
    ),
    _describe(
        "cold_limit",
        make_integer(1, 1_000),
        PER_SERVICE,
        "Requests in flight allowed to a server that has just started.",
    ),
    _describe(
        "cold_rate_percent",
        make_integer(1, 1_000, "percent"),
        PER_SERVICE,
        "How much of the rate that a cold server is known to bear it is given.",
    ),
    _describe(
        "queue_limit",
        make_integer(0, 10_000),
        PER_SERVICE,
        "Requests that may wait beside one server.",
    ),
    _describe(
        "drain_timeout_ms",
        make_integer(0, HOUR_MS, "ms"),
        PER_SERVICE,
        "Longest wait for requests in flight when a process stops.",
    ),
    _describe(
        "claim_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        UNIFORM,
        "How long the claim of an idempotency key is kept.",
    ),
    _describe(
        "claim_answer_max_bytes",
        make_integer(0, 32 * MIB, "bytes"),
        UNIFORM,
        "Largest answer that is kept for a resend.",
    ),
    _describe(
        "claim_losses_max",
        make_integer(1, 2),
        WHOLE_SERVICE,
        "Holders of a claim group that may be lost at once: 1 of 3, or 2 of 5.",
    ),
    _describe(
        "claim_run_when_unsure",
        make_boolean(),
        WHOLE_SERVICE,
        "After more losses, keys run although they may have run before.",
    ),
    _describe(
        "suspect_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        UNIFORM,
        "How long a request that crashed a server is remembered.",
    ),
    _describe(
        "trace_percent",
        make_number(0, 100, "percent"),
        ANYWHERE,
        "Share of calls that are traced.",
    ),
)

SETTINGS = {setting.name: setting for setting in _LIST}
"""Every setting by name."""

KIND_MATCH = {
    "methods": make_list(
        make_pattern("[A-Z]{1,20}", "HTTP method in capitals, such as GET"), 1, 10
    ),
    "paths": make_list(
        make_pattern(
            r"(/[^/?#*\s]*|/\*)*(/\*\*)?",
            "path from / on; a segment * stands for any one segment, a last ** "
            "for any number of them; no query",
        ),
        1,
        20,
    ),
}
"""How a kind is recognised."""

SERVICE_MATCH = {
    "hosts": make_list(
        make_pattern(r"[a-z0-9.-]{1,253}", "host name in lower case without port"),
        1,
        20,
    ),
    "path_prefixes": make_list(
        make_pattern(r"/[^?#*\s]*", "path from / on, without * or query"), 1, 20
    ),
}
"""How a service is recognised."""
