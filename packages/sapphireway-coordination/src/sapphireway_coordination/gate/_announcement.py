"""What a server says of itself to the node beside it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Announcement:
    """One announcement or renewal of a server.

    Attributes
    ----------
    server : str
        Server id, unique in the system.
    service : str
    url : str
        Base URL, ``http://host:port``.
    slots : int
        Requests that the server can run at once.
    connections_max : int
        Connections that it accepts at once.
    start_id : str
        Changes whenever the server's process starts; "" if it was found by a node
        and has not announced itself.
    in_flight : int or None
        Requests that the server runs now by its own count.
    started_s : float
        Wall-clock start of the server's process, which orders its starts; 0 if the
        server does not tell.
    cold_s : float or None
        How much longer the server is cold; None if it does not tell, so that its
        node has to find out what it bears.
    cold_rate_per_s : float
        Requests a second that it bears while it is cold; 0 if that is not known.
    health_path : str
        Path at which it answers of itself at once; "" if there is none.
    """

    server: str
    service: str
    url: str
    slots: int
    connections_max: int
    start_id: str
    in_flight: int | None = None
    started_s: float = 0.0
    cold_s: float | None = None
    cold_rate_per_s: float = 0.0
    health_path: str = ""

    def is_same_start(self, known: "Announcement") -> bool:
        """Tell whether `known` was said by the same start of the server's process."""
        return known.start_id in ("", self.start_id)


@dataclass(slots=True, frozen=True)
class AnnounceAccepted:
    """The node speaks for the server.

    Attributes
    ----------
    renew_s : float
        Time by which the server must announce itself again.
    limit : int
        Requests that it will be given at once for now.
    """

    renew_s: float
    limit: int


@dataclass(slots=True, frozen=True)
class AnnounceRefused:
    """The node does not speak for the server.

    Attributes
    ----------
    detail : str
        One line for people.
    """

    detail: str


AnnounceResult = AnnounceAccepted | AnnounceRefused
