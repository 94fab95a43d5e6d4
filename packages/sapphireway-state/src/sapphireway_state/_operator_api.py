"""JSON messages of the operator's HTTP API."""

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
    """The value set at a path, and the settings in force there.

    Attributes
    ----------
    version : int
    path : str
    value : object
        Value or node at the path itself; None if none is set.
    sources : list of Source
        Settings in force, with the tree nodes that they come from.
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
        How long the version has been in force at the node.
    role : str
        ``leader``, ``follower``, ``learner``, ... for a control host, else empty.
    detail : str
        The node's problem, if it has one.
    alive : bool
        Whether the node's lease is current. Other nodes do not wait for a node whose
        lease has expired.
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
    """One server as reported by the node beside it.

    Attributes
    ----------
    server, service, domain : str
    node : str
        Address of the node beside the server.
    state : str
        A `ServerState`.
    out : bool
        Whether operators have taken the server or its failure domain out of service.
    in_flight, queued, limit : int
    started : int
        Number of requests dispatched to the server since its node started.
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
    """One failure domain, with the totals of its servers."""

    domain: str
    out: bool
    servers: int
    in_flight: int
    started: int


class StatusReport(msgspec.Struct, frozen=True):
    """Status of the system as known to one node.

    Attributes
    ----------
    version : int
        Latest version of the tree known to the node.
    nodes : list of NodeStatus
    servers : list of ServerStatus
    leader : str
        Address of the control host that is the leader, if known.
    """

    version: int
    nodes: list[NodeStatus]
    servers: list[ServerStatus]
    leader: str = ""


class ErrorReply(msgspec.Struct, frozen=True):
    """Body of every error response that is not an `Answer`.

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
    """Return the status of every failure domain with a node or server, by name."""
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
