"""Finds services that an edit would leave without any failure domain."""

from collections.abc import Sequence
from typing import Any

from sapphireway_state._edits import LiveServers, LostService
from sapphireway_state._operations import list_out_of_service


def takes_out_of_service(before: dict[str, Any], after: dict[str, Any]) -> bool:
    """Return whether an edit takes a domain or server out of service."""
    return any(
        list_out_of_service(after, level) - list_out_of_service(before, level)
        for level in ("domains", "servers")
    )


def find_lost_services(
    before: dict[str, Any],
    after: dict[str, Any],
    live: Sequence[LiveServers] | None,
) -> list[LostService] | None:
    """Return the services that an edit would leave without a live server.

    Parameters
    ----------
    before, after : dict
        Trees without and with the edit.
    live : sequence of LiveServers or None
        Live servers known to the node that proposed the edit.

    Returns
    -------
    list of LostService or None
        None if no service is lost. Empty if the edit takes something out of
        service while no live server is known, so that the effect is unknown.
    """
    if not takes_out_of_service(before, after):
        return None
    if not live:
        return []
    serving_before = _list_serving(before, live)
    serving_after = _list_serving(after, live)
    lost = [
        LostService(service, sorted(domains))
        for service, domains in sorted(serving_before.items())
        if service not in serving_after
    ]
    return lost or None


def _list_serving(tree, live):
    domains_out = list_out_of_service(tree, "domains")
    servers_out = list_out_of_service(tree, "servers")
    serving = {}
    for group in live:
        if group.domain not in domains_out and set(group.servers) - servers_out:
            serving.setdefault(group.service, set()).add(group.domain)
    return serving
