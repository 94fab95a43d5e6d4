"""Registers the gauges of a node."""

from sapphireway._data_path import DataPath
from sapphireway._metrics import Metrics
from sapphireway._shared_state import SharedState
from sapphireway_coordination import Confirmation


def register_gauges(
    metrics: Metrics,
    shared: SharedState,
    data_path: DataPath,
    confirmation: Confirmation | None = None,
) -> None:
    """Register gauges that read the node's components when they are scraped."""

    def get_starts_per_s():
        load = data_path.gate.get_load()
        return 0.0 if load is None else load.starts_per_s

    budget, callers = data_path.budget, data_path.caller_limit
    interfaces = data_path.interface_limit
    peers, channel = shared.peers, shared.channel
    quotas = shared.quotas.counts
    gauges = {
        "sapphireway_settings_version": lambda: shared.applied.version,
        "sapphireway_peer_messages_sent": lambda: peers.messages_sent,
        "sapphireway_peer_bytes_sent": lambda: peers.bytes_sent,
        "sapphireway_claim_bytes": lambda: shared.holder.used_bytes,
        "sapphireway_server_starts_per_s": get_starts_per_s,
        "sapphireway_request_memory_bytes": lambda: budget.used_bytes,
        "sapphireway_caller_connections_closed": lambda: callers.closed_count,
        "sapphireway_interface_connections_closed": lambda: interfaces.closed_count,
        "sapphireway_settings_updates_rejected": lambda: channel.rejected_updates,
        "sapphireway_peer_messages_unreadable": lambda: peers.malformed_count,
        "sapphireway_quota_admitted": lambda: quotas.admitted,
        "sapphireway_quota_refused": lambda: quotas.refused,
        "sapphireway_quota_unconfirmed": lambda: quotas.unconfirmed,
        "sapphireway_quota_asks": lambda: quotas.asks,
        "sapphireway_quota_returns": lambda: quotas.returns,
        "sapphireway_quota_tokens_granted": lambda: quotas.granted,
        "sapphireway_quota_tokens_returned": lambda: quotas.returned,
        "sapphireway_quota_tokens_expired": lambda: quotas.expired,
    }
    if confirmation is not None:
        gauges["sapphireway_table_confirmation_age_s"] = confirmation.compute_age
    for name, read in gauges.items():
        metrics.register_gauge(name, read)
