"""Edits, queries and status for the operator API."""

import asyncio
import time
from collections.abc import Callable, Sequence

from sapphireway._control_hosts import (
    describe_problem,
    find_leader,
    find_newest_members,
)
from sapphireway._operator_backend import Unavailable
from sapphireway_coordination import (
    TREE_PREFIX,
    AppliedState,
    Committed,
    ControlClient,
    ReadResult,
)
from sapphireway_protocol import ListNodes, NodeList, Peers, ServerState
from sapphireway_state import LiveServers, NodeStatus, ServerStatus, StatusReport

PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 3.0
LIST_TIMEOUT_S = 1.0


class Operations:
    """Executes edits, queries and status requests of operators.

    Parameters
    ----------
    peers : Peers
    control_client : ControlClient
    control_hosts : sequence of str
    state : AppliedState
    wall_clock : callable
        Seconds since the epoch.
    """

    __slots__ = ("_control_client", "_control_hosts", "_peers", "_state", "_wall_clock")

    def __init__(
        self,
        peers: Peers,
        control_client: ControlClient,
        control_hosts: Sequence[str],
        state: AppliedState,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._control_client = control_client
        self._control_hosts = control_hosts
        self._peers = peers
        self._state = state
        self._wall_clock = wall_clock

    async def propose(self, command: bytes) -> bytes | Unavailable:
        """Commit an encoded edit and return the encoded answer."""
        result = await self._control_client.propose(
            TREE_PREFIX + command, PROPOSE_TIMEOUT_S
        )
        if isinstance(result, Committed):
            return result.result
        return Unavailable(result.detail, result.maybe_applied)

    async def read(self, query: bytes) -> bytes | Unavailable:
        """Query the current settings tree."""
        result = await self._control_client.read(TREE_PREFIX + query, READ_TIMEOUT_S)
        if isinstance(result, ReadResult):
            return result.data
        return Unavailable(result.detail)

    async def get_status(self) -> StatusReport:
        """Return all nodes and servers known to the reachable control hosts."""
        lists = await self._list_nodes()
        now_s = self._wall_clock()
        hosts = _get_host_states(lists)
        nodes, servers = {}, {}
        for status in _choose_newest_statuses(lists):
            nodes[status.entry.node] = _describe_node(status, hosts, now_s)
            servers |= self._describe_servers(status)
        return StatusReport(
            self._state.view.version,
            [nodes[name] for name in sorted(nodes)],
            [servers[name] for name in sorted(servers)],
            find_leader(hosts),
        )

    async def list_live(self) -> list[LiveServers]:
        """Return the live servers of each service in each failure domain."""
        live = {}
        for status in _choose_newest_statuses(await self._list_nodes()):
            if not status.alive:
                continue
            for server in status.entry.servers:
                if not server.leaving:
                    key = (server.service, status.entry.domain)
                    live.setdefault(key, set()).add(server.server)
        return [
            LiveServers(service, domain, sorted(names))
            for (service, domain), names in sorted(live.items())
        ]

    async def _list_nodes(self) -> dict[str, NodeList]:
        lists = await self._request_node_lists(self._control_hosts)
        # Control hosts added since this process started hold leases too.
        added = {
            member.address for member in find_newest_members(_get_host_states(lists))
        }
        return lists | await self._request_node_lists(
            added.difference(self._control_hosts)
        )

    async def _request_node_lists(self, addresses):
        addresses = list(addresses)
        replies = await asyncio.gather(
            *(
                self._peers.request(address, ListNodes(), LIST_TIMEOUT_S)
                for address in addresses
            )
        )
        return {
            address: reply.message
            for address, reply in zip(addresses, replies, strict=True)
            if reply is not None and isinstance(reply.message, NodeList)
        }

    def _describe_servers(self, status):
        entry, load = status.entry, status.load
        return {
            server.server: ServerStatus(
                server.server,
                server.service,
                entry.domain,
                entry.node,
                _describe_state(status, server),
                self._state.view.is_out(entry.domain, server.server),
                load.in_flight if load else 0,
                load.queued if load else 0,
                load.limit if load else 0,
                status.started,
            )
            for server in entry.servers
        }


def _get_host_states(lists):
    return {
        address: node_list.host
        for address, node_list in lists.items()
        if node_list.host is not None
    }


def _choose_newest_statuses(lists):
    """Return the status of each node's latest start.

    If several directories report it, the one where the node renews its lease wins.
    """
    chosen = {}
    for node_list in lists.values():
        for status in node_list.nodes:
            known = chosen.get(status.entry.node)
            if known is None or _get_precedence(status) > _get_precedence(known):
                chosen[status.entry.node] = status
    return chosen.values()


def _get_precedence(status):
    # Only the directory where a node renews its lease knows the node's version.
    return status.entry.started_s, status.settings_version, status.alive


def _describe_node(status, hosts, now_s):
    entry = status.entry
    host = hosts.get(entry.node)
    problem = describe_problem(host) if host is not None else ""
    return NodeStatus(
        entry.node,
        entry.domain,
        entry.region,
        status.settings_version,
        max(0.0, now_s - status.in_force_since_s) if status.in_force_since_s else 0.0,
        host.role if host is not None else "",
        problem if status.alive else "lease has run out",
        status.alive,
    )


def _describe_state(status, server):
    if not status.alive:
        return ServerState.DOWN
    if status.load is not None and status.load.server == server.server:
        return status.load.state
    return ServerState.DRAINING if server.leaving else ServerState.SERVING
