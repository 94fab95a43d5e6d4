"""Finds services that an edit would leave without a failure domain."""

from collections.abc import Sequence
from typing import Any

from sapphireway_state._edits import LiveServers, LostService
from sapphireway_state._operations import list_out_of_service


def takes_out(before: dict[str, Any], after: dict[str, Any]) -> bool:
    """Return whether a domain or server is out after an edit and was not before."""
    return any(
        list_out_of_service(after, level) - list_out_of_service(before, level)
        for level in ("domains", "servers")
    )


def find_lost_services(
    before: dict[str, Any],
    after: dict[str, Any],
    live: Sequence[LiveServers] | None,
) -> list[LostService] | None:
    """Return the services that an edit takes the last live servers from.

    Parameters
    ----------
    before, after : dict
        Trees without and with the edit.
    live : sequence of LiveServers or None
        What the node that proposed the edit knows of live servers.

    Returns
    -------
    list of LostService or None
        None if the edit is harmless. Empty if it takes something out and no
        live server is known, so that nobody can say what would be left.
    """
    if not takes_out(before, after):
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


def list_left(
    tree: dict[str, Any], live: Sequence[LiveServers]
) -> dict[str, list[str]]:
    """Return the failure domains that serve each service under a tree."""
    serving = _list_serving(tree, live)
    return {service: sorted(domains) for service, domains in sorted(serving.items())}


def _list_serving(tree, live):
    domains_out = list_out_of_service(tree, "domains")
    servers_out = list_out_of_service(tree, "servers")
    serving = {}
    for group in live:
        if group.domain not in domains_out and set(group.servers) - servers_out:
            serving.setdefault(group.service, set()).add(group.domain)
    return serving
