"""Messages of the operator's HTTP interface, as JSON objects."""

from typing import Any

import msgspec

from sapphireway_state._edits import SetValue, UnsetValue
from sapphireway_state._view import Source


class EditRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/edits``; see `Edit`."""

    edit_id: str
    base: int
    operations: list[SetValue | UnsetValue]
    operator: str
    reason: str = ""
    force: bool = False


class SettingsReply(msgspec.Struct, frozen=True):
    """What is set at a path, and what is in force there.

    Attributes
    ----------
    version : int
    path : str
    value : object
        Value or node at the path itself; None if nothing is set there.
    sources : list of Source
        Settings in force there with the nodes that gave them.
    """

    version: int
    path: str
    value: Any
    sources: list[Source] = []


class NodeStatus(msgspec.Struct, frozen=True):
    """One node and the version of the tree that it has in force.

    Attributes
    ----------
    node : str
        Address, ``host:port``.
    domain, region : str
    version : int
    in_force_s : float
        How long the version has been in force there.
    role : str
        ``leader``, ``follower``, ``learner``, ... for a control host, else empty.
    detail : str
        What is wrong, if something is.
    alive : bool
        Whether the node has renewed its lease; nobody waits for one that has not.
    """

    node: str
    domain: str
    region: str
    version: int
    in_force_s: float = 0.0
    role: str = ""
    detail: str = ""
    alive: bool = True


class ServerStatus(msgspec.Struct, frozen=True):
    """One server as the node beside it counts.

    Attributes
    ----------
    server, service, domain : str
    node : str
        Address of the node beside it.
    state : str
        A `ServerState`.
    out : bool
        Whether operators have the server or its failure domain out.
    in_flight, queued, limit : int
    started : int
        Requests handed to the server since its node started.
    """

    server: str
    service: str
    domain: str
    node: str
    state: str
    out: bool = False
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    started: int = 0


class DomainStatus(msgspec.Struct, frozen=True):
    """One failure domain: whether it is out, and its servers' sums."""

    domain: str
    out: bool
    servers: int
    in_flight: int
    started: int


class StatusReport(msgspec.Struct, frozen=True):
    """What one node knows of the system.

    Attributes
    ----------
    version : int
        Latest version of the tree that the node has heard of.
    nodes : list of NodeStatus
    servers : list of ServerStatus
    leader : str
        Address of the leading control host, if known.
    """

    version: int
    nodes: list[NodeStatus]
    servers: list[ServerStatus]
    leader: str = ""


class ErrorReply(msgspec.Struct, frozen=True):
    """Body of every answer that is neither a result nor an `Answer`.

    Attributes
    ----------
    error : str
        ``unauthorized``, ``bad_request``, ``not_found``, ``unavailable`` or
        ``unknown`` (an edit that may have been accepted).
    detail : str
    """

    error: str
    detail: str


def summarize_domains(
    report: StatusReport, domains_out: set[str]
) -> list[DomainStatus]:
    """Return the status of every failure domain with a node, by name."""
    names = {node.domain for node in report.nodes}
    names |= {server.domain for server in report.servers}
    rows = []
    for name in sorted(names):
        servers = [server for server in report.servers if server.domain == name]
        rows.append(
            DomainStatus(
                name,
                name in domains_out,
                len(servers),
                sum(server.in_flight for server in servers),
                sum(server.started for server in servers),
            )
        )
    return rows
