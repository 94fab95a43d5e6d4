"""Messages between nodes and the membership directory on the control hosts."""

import msgspec

from sapphireway_protocol._calls import LoadReport
from sapphireway_protocol._control_hosts import ControlHostState


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """A server, as announced by the node beside it.

    Attributes
    ----------
    server, service : str
    start_id : str
        Changes whenever the server's process starts.
    slots : int
        Requests that the server can run concurrently.
    leaving : bool
        True once the server or its node has begun to shut down.
    version : str
        Version of the server's software; "" if unknown.
    """

    server: str
    service: str
    start_id: str
    slots: int
    leaving: bool = False
    version: str = ""


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """A node and its servers.

    Attributes
    ----------
    node : str
        Address of the node, ``host:port``.
    domain, region : str
    incarnation : str
        Changes whenever the node's process starts.
    started_s : float
        Wall-clock start time of the process; orders the incarnations of an address.
    revision : int
        Incremented by every change of the entry within one incarnation.
    servers : list of ServerEntry
    """

    node: str
    domain: str
    region: str
    incarnation: str
    started_s: float
    revision: int
    servers: list[ServerEntry]


class Renew(msgspec.Struct, frozen=True, tag="renew", array_like=True):
    """Renewal of a node's lease, and a request for membership changes.

    Attributes
    ----------
    revision : int
        Revision of the node's own entry.
    entry : NodeEntry or None
        The entry itself, if the directory may not have this revision.
    services : list of str or None
        Services whose members the node requests; None if unchanged.
    directory : str
        Directory that ``version`` refers to, as in `Renewed`; empty if none.
    version : int
        Last membership change that the node has received.
    in_force_since_s : float
        Wall-clock time at which the node's settings took effect.
    load : LoadReport or None
        Load of the server beside the node, shown to operators.
    started : int
        Requests sent to that server since the node started.
    hosts_version : int
        Version of the list of control hosts that the node knows.
    """

    revision: int
    entry: NodeEntry | None
    services: list[str] | None
    directory: str
    version: int
    in_force_since_s: float = 0.0
    load: LoadReport | None = None
    started: int = 0
    hosts_version: int = 0


class Renewed(msgspec.Struct, frozen=True, tag="renewed", array_like=True):
    """Answer to `Renew`.

    Attributes
    ----------
    directory : str
        Incarnation of the directory, with a suffix while it does not know all nodes.
    version : int
        Last membership change that the answer includes.
    is_full : bool
        True if ``nodes`` replaces all members that the node knew.
    nodes : list of NodeEntry
        Changed live nodes, with only their servers of the requested services.
    removed : list of str
        Addresses that no longer have a live server of the requested services.
    wants_entry : bool
        True if the directory lacks the node's entry.
    wants_services : bool
        True if the directory does not know which services the node requests.
    hosts_version : int
    hosts : list of str
        The control hosts, if the node knows an older list.
    """

    directory: str
    version: int
    is_full: bool
    nodes: list[NodeEntry]
    removed: list[str]
    wants_entry: bool
    wants_services: bool
    hosts_version: int = 0
    hosts: list[str] = []


class LeaseEntry(msgspec.Struct, frozen=True, array_like=True):
    """A node's lease, as replicated between directories.

    Attributes
    ----------
    entry : NodeEntry
    counter : int
        Incremented whenever the lease changes owner, expires or begins again.
    owner : str
        Address of the directory that the node renews with.
    alive : bool
    """

    entry: NodeEntry
    counter: int
    owner: str
    alive: bool


class ReachableDirectory(msgspec.Struct, frozen=True, array_like=True):
    """A directory from which the sender has recently received a message.

    Attributes
    ----------
    address : str
    age_s : float
        Time since the last message.
    """

    address: str
    age_s: float


class SyncLeases(msgspec.Struct, frozen=True, tag="sync_leases", array_like=True):
    """Leases that changed at a directory; also its heartbeat.

    Attributes
    ----------
    directory : str
        Incarnation of the sender.
    since, version : int
        Range (since, version] of the sender's changes that the message contains.
    complete : bool
        True if the sender has no later changes to send.
    leases : list of LeaseEntry
    reachable : list of ReachableDirectory
        Other directories that the sender can hear, so that two directories that are
        cut off only from each other do not expire each other's leases.
    """

    directory: str
    since: int
    version: int
    complete: bool
    leases: list[LeaseEntry]
    reachable: list[ReachableDirectory] = []


class SyncedLeases(msgspec.Struct, frozen=True, tag="synced_leases", array_like=True):
    """Acknowledgement of a directory's changes up to a version."""

    directory: str
    version: int


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of one node, shown to operators.

    Attributes
    ----------
    entry : NodeEntry
    alive : bool
    settings_version : int
    in_force_since_s : float
        Wall-clock time at which that version took effect at the node.
    load : LoadReport or None
        Load of the server beside the node at the node's last renewal.
    started : int
        Requests sent to that server since the node started.
    """

    entry: NodeEntry
    alive: bool
    settings_version: int
    in_force_since_s: float
    load: LoadReport | None
    started: int


class ListNodes(msgspec.Struct, frozen=True, tag="list_nodes", array_like=True):
    """Request for the nodes that renew their leases with a directory."""


class NodeList(msgspec.Struct, frozen=True, tag="node_list", array_like=True):
    """Answer to `ListNodes`.

    Attributes
    ----------
    nodes : list of NodeStatus
    host : ControlHostState or None
        State of the directory's host in the control quorum.
    """

    nodes: list[NodeStatus]
    host: ControlHostState | None


MESSAGES = (Renew, Renewed, SyncLeases, SyncedLeases, ListNodes, NodeList)
