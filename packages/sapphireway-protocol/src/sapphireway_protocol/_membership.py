"""Messages between nodes and the membership directory on the control hosts."""

import msgspec

from sapphireway_protocol._calls import LoadReport
from sapphireway_protocol._control_hosts import ControlHostState


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """A server as the node beside it presents it.

    Attributes
    ----------
    server, service : str
    start_id : str
        Changes whenever the server's process starts.
    slots : int
        Requests that the server can run at once.
    leaving : bool
        True once the server or its node has begun to stop.
    """

    server: str
    service: str
    start_id: str
    slots: int
    leaving: bool = False


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
        Wall-clock start of the process; orders incarnations of one address.
    revision : int
        Grows with every change of the entry during one incarnation.
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
    """Renew a node's lease and ask for changes of membership.

    Attributes
    ----------
    revision : int
        Revision of the node's own entry.
    entry : NodeEntry or None
        The entry itself, if the directory may not hold this revision.
    services : list of str or None
        Services whose members the node wants; None if unchanged.
    directory : str
        Directory that ``version`` belongs to, as it named itself; "" if none.
    version : int
        Last change that the node has seen.
    in_force_since_s : float
        Wall-clock time at which the node's settings came into force.
    load : LoadReport or None
        Load of the server beside the node, for operators.
    started : int
        Requests handed to that server since the node started.
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
        Incarnation of the directory, marked while it does not know all nodes.
    version : int
        Last change that the answer includes.
    whole : bool
        True if ``nodes`` replaces all that the node knew of its services.
    nodes : list of NodeEntry
        Live nodes that changed, with their servers of the node's services.
    gone : list of str
        Addresses that have no live server of the node's services any more.
    wants_entry : bool
        True if the directory does not hold the node's entry.
    wants_services : bool
        True if the directory does not know the node's services.
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
    """A node's lease as one directory tells it to another.

    Attributes
    ----------
    entry : NodeEntry
    counter : int
        Grows whenever the lease changes hands, ends or begins again.
    owner : str
        Address of the directory that the node renews with.
    alive : bool
    """

    entry: NodeEntry
    counter: int
    owner: str
    alive: bool


class ReachableDirectory(msgspec.Struct, frozen=True, array_like=True):
    """Another directory as one that hears it tells a third one.

    Attributes
    ----------
    address : str
    age_s : float
        How long ago it was last heard.
    """

    address: str
    age_s: float


class SyncLeases(msgspec.Struct, frozen=True, tag="sync_leases", array_like=True):
    """Leases that changed at a directory; also its sign of life.

    Attributes
    ----------
    directory : str
        Incarnation of the sender.
    since, version : int
        The message holds the sender's changes in the range (since, version].
    complete : bool
        True if the sender has no later changes.
    leases : list of LeaseEntry
    reachable : list of ReachableDirectory
        The directories that the sender hears itself.
    """

    directory: str
    since: int
    version: int
    complete: bool
    leases: list[LeaseEntry]
    reachable: list[ReachableDirectory] = []


class SyncedLeases(msgspec.Struct, frozen=True, tag="synced_leases", array_like=True):
    """How far a directory has followed another's changes."""

    directory: str
    version: int


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """What operators see of one node.

    Attributes
    ----------
    entry : NodeEntry
    alive : bool
    settings_version : int
    in_force_since_s : float
        Wall-clock time at which that version came into force at the node.
    load : LoadReport or None
        Load of the server beside the node at its last renewal.
    started : int
        Requests handed to that server since the node started.
    """

    entry: NodeEntry
    alive: bool
    settings_version: int
    in_force_since_s: float
    load: LoadReport | None
    started: int


class ListNodes(msgspec.Struct, frozen=True, tag="list_nodes", array_like=True):
    """Ask a directory for the nodes that renew with it."""


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
