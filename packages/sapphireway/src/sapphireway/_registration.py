"""Registration of this node's local server in the membership directory."""

import asyncio
from collections.abc import Callable
from typing import Any

from sapphireway_coordination import AttemptStarted, Gate, Membership, NodeReport
from sapphireway_protocol import ServerEntry

CHECK_INTERVAL_S = 0.1


class ServerRegistration:
    """Registers the gate's server in the directory and reports its load.

    Parameters
    ----------
    get_in_force_since : callable
        Returns the wall-clock time at which the settings in force were applied.
    """

    __slots__ = ("_gate", "_get_in_force_since", "_started")

    def __init__(self, get_in_force_since: Callable[[], float]):
        self._gate = None
        self._get_in_force_since = get_in_force_since
        self._started = 0

    def set_gate(self, gate: Gate) -> None:
        """Register the server of `gate` from now on."""
        self._gate = gate

    def count(self, event: Any) -> None:
        """Count an attempt if the event is its start."""
        if isinstance(event, AttemptStarted):
            self._started += 1

    def get_report(self) -> NodeReport:
        """Return the report that operators see in this node's status."""
        load = self._gate.get_load() if self._gate else None
        return NodeReport(self._get_in_force_since(), load, self._started)

    async def run(self, membership: Membership, on_change: Callable[[], None]) -> None:
        """Keep the registration up to date until cancelled.

        Parameters
        ----------
        membership : Membership
        on_change : callable
            Called after the registered server or its state has changed.
        """
        registered = []
        while True:
            servers = self._list_entries()
            if servers != registered:
                registered = servers
                membership.set_servers(servers)
                for server in servers:
                    # Subscribes to the members, with whom the gate shares suspects.
                    membership.get_members(server.service)
                on_change()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _list_entries(self):
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
                announcement.version,
            )
        ]
