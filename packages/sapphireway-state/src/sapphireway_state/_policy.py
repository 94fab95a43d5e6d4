"""Effective settings of one service and request kind in one failure domain."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Policy:
    """Settings after inheritance; the tree's schema bounds each value.

    Attributes
    ----------
    out : bool
        True while operators have the failure domain or server out of service.
    idempotent : bool
        Whether the request may run more than once.
    weight : int
        Importance of the kind, 1 to 100; light kinds are shed first.
    deadline_ms : int
        Time allowed if the caller names no deadline.
    deadline_max_ms : int
        Longest deadline that a caller may ask for.
    target_latency_ms : int
        Time within which an answer is worth most to its caller; 0 if there is none.
    body_max_bytes : int
        Largest body in either direction.
    attempts_max : int
        Most attempts of one call.
    retry_budget_percent : float
        Retries and hedges as a share of a service's calls.
    hedge_percentile : float
        Latency percentile after which an idempotent call is hedged; 0 turns
        hedging off.
    panic_percent : float
        Share of bad servers above which none is ejected any more.
    probe_rate_per_s : float
        Most load probes that one node sends a second.
    load_stale_ms : int
        Age after which a load report is worth a probe.
    health_interval_ms : int
        Time between two questions of a node to the server beside it, if the server
        answers of itself at a path of its own; 0 asks nothing.
    crossing_ms_per_kb : float
        How much longer an answer may take before a kilobyte of request and answer is
        moved to another failure domain.
    cold_limit : int
        Requests in flight allowed to a server that has just started.
    cold_rate_percent : int
        How much of the rate that a cold server is known to bear it is given.
    queue_limit : int
        Requests that may wait beside one server.
    drain_timeout_ms : int
        Longest wait for requests in flight when a process stops.
    claim_ttl_s : int
        How long the claim of an idempotency key is kept.
    claim_answer_max_bytes : int
        Largest answer that is kept for a resend.
    claim_losses_max : int
        Holders of a claim group that may be lost at once; a group of n losses has
        2n + 1 holders.
    claim_run_when_unsure : bool
        Whether keys run after more losses, though they may have run before.
    suspect_ttl_s : int
        How long a request that crashed a server is remembered.
    trace_percent : float
        Share of calls that are traced.
    """

    out: bool = False
    idempotent: bool = False
    weight: int = 10
    deadline_ms: int = 2_000
    deadline_max_ms: int = 60_000
    target_latency_ms: int = 0
    body_max_bytes: int = 32 * 1024 * 1024
    attempts_max: int = 3
    retry_budget_percent: float = 10.0
    hedge_percentile: float = 95.0
    panic_percent: float = 50.0
    probe_rate_per_s: float = 20.0
    load_stale_ms: int = 200
    health_interval_ms: int = 0
    crossing_ms_per_kb: float = 0.0
    cold_limit: int = 1
    cold_rate_percent: int = 100
    queue_limit: int = 64
    drain_timeout_ms: int = 30_000
    claim_ttl_s: int = 3_600
    claim_answer_max_bytes: int = 65_536
    claim_losses_max: int = 1
    claim_run_when_unsure: bool = False
    suspect_ttl_s: int = 600
    trace_percent: float = 1.0
