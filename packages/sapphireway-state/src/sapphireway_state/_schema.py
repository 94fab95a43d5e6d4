"""Schema of the settings tree: types, units, bounds and scopes of all settings."""

import enum

import msgspec

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


class Setting(msgspec.Struct, frozen=True):
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


_DEFAULTS = {field.name: field.default for field in msgspec.structs.fields(Policy)}


def _make_setting(name, rule, scopes, description):
    return Setting(name, rule, scopes, description, _DEFAULTS[name])


_SETTINGS = (
    _make_setting(
        "out",
        make_boolean(),
        frozenset({Scope.DOMAIN, Scope.SERVER}),
        "Whether the failure domain or server is out of service and gets no new "
        "requests.",
    ),
    _make_setting(
        "idempotent",
        make_boolean(),
        frozenset({Scope.SERVICE, Scope.KIND}),
        "Whether the request may run more than once.",
    ),
    _make_setting(
        "weight",
        make_integer(1, 100),
        DOMAIN_INDEPENDENT_SCOPES,
        "Importance of the kind; kinds with low weights are shed first.",
    ),
    _make_setting(
        "deadline_ms",
        make_integer(1, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Deadline of calls for which the caller sets none.",
    ),
    _make_setting(
        "deadline_max_ms",
        make_integer(1, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Maximum deadline; a longer one, from the caller or deadline_ms, is reduced "
        "to it.",
    ),
    _make_setting(
        "target_latency_ms",
        make_integer(0, HOUR_MS, "ms"),
        REQUEST_SCOPES,
        "Latency within which an answer has its full value to the caller; 0 if "
        "there is no target.",
    ),
    _make_setting(
        "body_max_bytes",
        make_integer(0, 1024 * MIB, "bytes"),
        REQUEST_SCOPES,
        "Maximum size of a request or response body.",
    ),
    _make_setting(
        "attempts_max",
        make_integer(1, 10),
        REQUEST_SCOPES,
        "Maximum number of attempts of one call that reach, or may reach, a server.",
    ),
    _make_setting(
        "retry_budget_percent",
        make_number(0, 100, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "Retries and hedges allowed, as a percentage of a service's calls.",
    ),
    _make_setting(
        "hedge_percentile",
        make_number(0, 99.99, "percent"),
        REQUEST_SCOPES,
        "Latency percentile after which an idempotent call is hedged; 0 turns "
        "hedging off.",
    ),
    _make_setting(
        "panic_percent",
        make_number(0, 100, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "Percentage of ejected servers above which ejections are ignored.",
    ),
    _make_setting(
        "probe_rate_per_s",
        make_number(0, 1_000, "per second"),
        KIND_INDEPENDENT_SCOPES,
        "Maximum rate of the load probes that one node sends.",
    ),
    _make_setting(
        "choice_probes",
        make_integer(0, 16),
        REQUEST_SCOPES,
        "Number of servers probed right before one is chosen for an attempt, unless "
        "their reports are fresh; 0 turns these probes off.",
    ),
    _make_setting(
        "load_stale_ms",
        make_integer(1, 60_000, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Age after which a load report is stale and its server may be probed.",
    ),
    _make_setting(
        "health_interval_ms",
        make_integer(0, 60_000, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Interval of a node's health checks of its local server, if the server has "
        "a path for them; 0 turns health checks off.",
    ),
    _make_setting(
        "crossing_ms_per_kb",
        make_number(0, 10_000, "ms"),
        REQUEST_SCOPES,
        "Additional latency per kilobyte of request and response that is accepted "
        "to avoid sending a call to another failure domain.",
    ),
    _make_setting(
        "cold_limit",
        make_integer(1, 1_000),
        KIND_INDEPENDENT_SCOPES,
        "Maximum number of requests in flight at a server that has just started.",
    ),
    _make_setting(
        "cold_rate_percent",
        make_integer(1, 1_000, "percent"),
        KIND_INDEPENDENT_SCOPES,
        "Request rate of a cold server, as a percentage of the rate that it is "
        "known to sustain.",
    ),
    _make_setting(
        "queue_limit",
        make_integer(0, 10_000),
        KIND_INDEPENDENT_SCOPES,
        "Maximum number of requests queued for one server.",
    ),
    _make_setting(
        "drain_timeout_ms",
        make_integer(0, HOUR_MS, "ms"),
        KIND_INDEPENDENT_SCOPES,
        "Maximum time to wait for requests in flight when a process stops.",
    ),
    _make_setting(
        "claim_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        DOMAIN_INDEPENDENT_SCOPES,
        "How long the claim on an idempotency key is stored.",
    ),
    _make_setting(
        "claim_answer_max_bytes",
        make_integer(0, 32 * MIB, "bytes"),
        DOMAIN_INDEPENDENT_SCOPES,
        "Maximum size of an answer that is stored for resent requests.",
    ),
    _make_setting(
        "claim_losses_max",
        make_integer(1, 2),
        SERVICE_WIDE_SCOPES,
        "Holders of a claim group whose simultaneous loss is tolerated: 1 of 3, or "
        "2 of 5.",
    ),
    _make_setting(
        "claim_run_when_unsure",
        make_boolean(),
        SERVICE_WIDE_SCOPES,
        "Whether calls run after the loss of more than claim_losses_max holders, "
        "even though calls with the same key may have run before.",
    ),
    _make_setting(
        "suspect_ttl_s",
        make_integer(1, 7 * DAY_S, "s"),
        DOMAIN_INDEPENDENT_SCOPES,
        "How long a request that crashed a server is recorded as suspect.",
    ),
    _make_setting(
        "trace_percent",
        make_number(0, 100, "percent"),
        REQUEST_SCOPES,
        "Percentage of calls to trace, of those that the caller does not trace itself.",
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
