"""Keeps the membership directory's picture of the server beside this node."""

import asyncio
from collections.abc import Callable
from typing import Any

from sapphireway_coordination import AttemptStarted, Gate, Membership, NodeReport
from sapphireway_protocol import ServerEntry

CHECK_INTERVAL_S = 0.1


class ServerPresence:
    """Presents the gate's server to the directory, and what operators see of it.

    Parameters
    ----------
    get_in_force_since : callable
        Wall-clock time at which the settings in force were applied.
    """

    __slots__ = ("_gate", "_get_in_force_since", "_started")

    def __init__(self, get_in_force_since: Callable[[], float]):
        self._gate = None
        self._get_in_force_since = get_in_force_since
        self._started = 0

    def watch(self, gate: Gate) -> None:
        """Present the server of `gate` from now on."""
        self._gate = gate

    def count(self, event: Any) -> None:
        """Count the requests that the server was given."""
        if isinstance(event, AttemptStarted):
            self._started += 1

    def get_report(self) -> NodeReport:
        """Return what operators see of this node."""
        load = self._gate.get_load() if self._gate else None
        return NodeReport(self._get_in_force_since(), load, self._started)

    async def run(self, membership: Membership, on_change: Callable[[], None]) -> None:
        """Follow the gate until cancelled.

        Parameters
        ----------
        membership : Membership
        on_change : callable
            Called after another server, or another state of it, was presented.
        """
        presented = []
        while True:
            servers = self._list_servers()
            if servers != presented:
                presented = servers
                membership.set_servers(servers)
                for server in servers:
                    # The gate shares suspects with the service's other nodes.
                    membership.get_members(server.service)
                on_change()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _list_servers(self):
        announcement = self._gate.announcement
        if announcement is None:
            return []
        return [
            ServerEntry(
                announcement.server,
                announcement.service,
                announcement.start_id,
                announcement.slots,
                not self._gate.available,
            )
        ]
