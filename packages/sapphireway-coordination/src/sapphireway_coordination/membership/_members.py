"""Members of a service: its servers and the nodes beside them."""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from sapphireway_protocol import NodeEntry, ServerEntry


class Member(msgspec.Struct, frozen=True):
    """A server and the node beside it.

    Attributes
    ----------
    server : str
        Server id, unique in the system.
    service : str
    node : str
        Address of the node beside the server, ``host:port``.
    domain : str
        Failure domain.
    region : str
    incarnation : str
        Changes whenever the node's process starts.
    start_id : str
        Changes whenever the server's process starts.
    slots : int
        Requests that the server announced it can run at once.
    leaving : bool
        True once the server or its node has begun to stop.
    out : bool
        True while operators have taken the server or its failure domain out of service.
    version : str
        Version of the server's software; "" if unknown.
    """

    server: str
    service: str
    node: str
    domain: str
    region: str
    incarnation: str
    start_id: str
    slots: int
    leaving: bool = False
    out: bool = False
    version: str = ""


GetMembers = Callable[[str], Sequence[Member]]
"""Returns the live members of a service."""


def make_member(entry: NodeEntry, server: ServerEntry) -> Member:
    """Return the member for one server of a node's directory entry."""
    return Member(
        server=server.server,
        service=server.service,
        node=entry.node,
        domain=entry.domain,
        region=entry.region,
        incarnation=entry.incarnation,
        start_id=server.start_id,
        slots=server.slots,
        leaving=server.leaving,
        version=server.version,
    )


def index_members(entries: Iterable[NodeEntry]) -> dict[str, list[Member]]:
    """Return the members of each service that the nodes serve."""
    members = {}
    for entry in entries:
        for server in entry.servers:
            members.setdefault(server.service, []).append(make_member(entry, server))
    return members
