"""Schema of the settings tree: types, units, bounds and scopes of all settings."""

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
    """Levels of the tree at which a setting may be set."""

    ROOT = "root"
    DOMAIN = "domain"
    SERVICE = "service"
    KIND = "kind"
    SERVER = "server"


REQUEST_SCOPES = frozenset({Scope.ROOT, Scope.DOMAIN, Scope.SERVICE, Scope.KIND})
DOMAIN_INDEPENDENT_SCOPES = frozenset({Scope.ROOT, Scope.SERVICE, Scope.KIND})
SERVICE_WIDE_SCOPES = frozenset({Scope.ROOT, Scope.SERVICE})
KIND_INDEPENDENT_SCOPES = frozenset({Scope.ROOT, Scope.DOMAIN, Scope.SERVICE})


@dataclass(slots=True, frozen=True)
class Setting:
    """One setting of the tree.

    Attributes
    ----------
    name : str
        Name of the `Policy` attribute.
    rule : Rule
    scopes : frozenset of Scope
        Levels at which it may be set.
    description : str
    default : bool, int or float
        Value if no node of the tree sets one.
    """

    name: str
    rule: Rule
    scopes: frozenset[Scope]
    description: str
    default: bool | int | float


_DEFAULTS = {field.name: field.default for field in fields(Policy)}


def _make_setting(name, rule, scopes, description):
    return Setting(name, rule, scopes, description, _DEFAULTS[name])


_SETTINGS = (
    _make_setting(
        "out",
        make_boolean(),
        frozenset({Scope.DOMAIN, Scope.SERVER}),
        "Gets no new work.",
    ),
    _make_setting(
        "idempotent",
        make_boolean(),
        frozenset({Scope.SERVICE, Scope.KIND}),
        "The request may run more than once.",
    ),
    _make_setting(
        "weight",
        make_integer(1, 100),
        DOMAIN_INDEPENDENT_SCOPES,
        "Importance of the kind; light kinds are shed first.",
    ),
    _make_setting(
        "deadline_ms",
        make_integer(1, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Time allowed if the caller names no deadline.",
    ),
    _make_setting(
        "deadline_max_ms",
        make_integer(1, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Longest deadline that a caller may ask for; it bounds deadline_ms too.",
    ),
    _make_setting(
        "target_latency_ms",
        make_integer(0, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Time within which an answer is worth most; 0 is none.",
    ),
    _make_setting(
        "body_max_bytes",
        make_integer(0, 1024 * MIB, "bytes"),
        REQUEST_SCOPES,
        "Largest body in either direction.",
    ),
    _make_setting(
        "attempts_max",
        make_integer(1, 10),
        REQUEST_SCOPES,
        "Most attempts of one call.",
    ),
    _make_setting(
        "retry_budget_percent",
        make_number(0, 100, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "Retries and hedges as a share of a service's calls.",
    ),
    _make_setting(
        "hedge_percentile",
        make_number(0, 99.99, "percent"),
        REQUEST_SCOPES,
        "Latency percentile after which an idempotent call is hedged; 0 is never.",
    ),
    _make_setting(
        "panic_percent",
        make_number(0, 100, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "Share of bad servers above which none is ejected any more.",
    ),
    _make_setting(
        "probe_rate_per_s",
        make_number(0, 1_000, "per second"),
        KIND_INDEPENDENT_SCOPES,
        "Most load probes that one node sends.",
    ),
    _make_setting(
        "load_stale_ms",
        make_integer(1, 60_000, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Age after which a load report is worth a probe.",
    ),
    _make_setting(
        "health_interval_ms",
        make_integer(0, 60_000, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Time between two questions of a node to its server; 0 asks nothing.",
    ),
    _make_setting(
        "crossing_ms_per_kb",
        make_number(0, 10_000, "ms"),
        REQUEST_SCOPES,
        "Delay that is borne rather than move a kilobyte to another failure domain.",
    ),
    _make_setting(
        "cold_limit",
        make_integer(1, 1_000),
        KIND_INDEPENDENT_SCOPES,
        "Requests in flight allowed to a server that has just started.",
    ),
    _make_setting(
        "cold_rate_percent",
        make_integer(1, 1_000, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "How much of the rate that a cold server is known to bear it is given.",
    ),
    _make_setting(
        "queue_limit",
        make_integer(0, 10_000),
        KIND_INDEPENDENT_SCOPES,
        "Requests that may wait beside one server.",
    ),
    _make_setting(
        "drain_timeout_ms",
        make_integer(0, HOUR_MS, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Longest wait for requests in flight when a process stops.",
    ),
    _make_setting(
        "claim_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        DOMAIN_INDEPENDENT_SCOPES,
        "How long the claim of an idempotency key is kept.",
    ),
    _make_setting(
        "claim_answer_max_bytes",
        make_integer(0, 32 * MIB, "bytes"),
        DOMAIN_INDEPENDENT_SCOPES,
        "Largest answer that is kept for a resend.",
    ),
    _make_setting(
        "claim_losses_max",
        make_integer(1, 2),
        SERVICE_WIDE_SCOPES,
        "Holders of a claim group that may be lost at once: 1 of 3, or 2 of 5.",
    ),
    _make_setting(
        "claim_run_when_unsure",
        make_boolean(),
        SERVICE_WIDE_SCOPES,
        "After more losses, keys run although they may have run before.",
    ),
    _make_setting(
        "suspect_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        DOMAIN_INDEPENDENT_SCOPES,
        "How long a request that crashed a server is remembered.",
    ),
    _make_setting(
        "trace_percent",
        make_number(0, 100, "percent"),
        REQUEST_SCOPES,
        "Share of calls that are traced.",
    ),
)

SETTINGS = {setting.name: setting for setting in _SETTINGS}
"""All settings by name."""

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
"""Rules of the ``match`` keys of a kind."""

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
"""Rules of the ``match`` keys of a service."""
