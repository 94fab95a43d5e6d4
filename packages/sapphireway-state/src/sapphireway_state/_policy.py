"""Settings in force for one service and request kind in one failure domain."""

import msgspec


class Policy(msgspec.Struct, frozen=True):
    """Settings after inheritance; the schema of the tree bounds each value.

    Attributes
    ----------
    out : bool
        Whether the failure domain or server is out of service and gets no new
        requests.
    idempotent : bool
        Whether the request may run more than once.
    weight : int
        Importance of the kind, 1 to 100; kinds with low weights are shed first.
    deadline_ms : int
        Deadline of calls for which the caller sets none.
    deadline_max_ms : int
        Maximum deadline; a longer one, from the caller or `deadline_ms`, is reduced
        to it.
    target_latency_ms : int
        Latency within which an answer has its full value to the caller; 0 if there
        is no target.
    body_max_bytes : int
        Maximum size of a request or response body.
    attempts_max : int
        Maximum number of attempts of one call that reach, or may reach, a server.
    retry_budget_percent : float
        Retries and hedges allowed, as a percentage of a service's calls.
    hedge_percentile : float
        Latency percentile after which an idempotent call is hedged; 0 turns
        hedging off.
    panic_percent : float
        Percentage of ejected servers above which ejections are ignored.
    probe_rate_per_s : float
        Maximum number of load probes per second that one node sends.
    choice_probes : int
        Number of servers that are probed right before one is chosen for an attempt, if
        their load reports are not fresh; 0 turns these probes off.
    load_stale_ms : int
        Age after which a load report is stale and the server may be probed.
    health_interval_ms : int
        Interval of a node's health checks of its local server, if the server has a
        path for them; 0 turns health checks off.
    crossing_ms_per_kb : float
        Additional latency per kilobyte of request and response that is accepted
        to avoid sending a call to another failure domain.
    cold_limit : int
        Maximum number of requests in flight at a server that has just started.
    cold_rate_percent : int
        Request rate of a cold server, as a percentage of the rate that it is known
        to sustain.
    queue_limit : int
        Maximum number of requests queued for one server.
    drain_timeout_ms : int
        Maximum time to wait for requests in flight when a process stops.
    claim_ttl_s : int
        How long the claim on an idempotency key is stored.
    claim_answer_max_bytes : int
        Maximum size of an answer that is stored for resent requests.
    claim_losses_max : int
        Number of holders of a claim group whose simultaneous loss is tolerated; a
        group that tolerates n losses has 2n + 1 holders.
    claim_run_when_unsure : bool
        Whether calls run after the loss of more than `claim_losses_max` holders, even
        though calls with the same key may have run before.
    suspect_ttl_s : int
        How long a request that crashed a server is recorded as suspect.
    trace_percent : float
        Percentage of calls to trace, of those that the caller does not trace itself.
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
    choice_probes: int = 0
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
