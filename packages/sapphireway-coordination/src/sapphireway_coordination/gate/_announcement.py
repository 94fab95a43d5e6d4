"""Announcements by which a server registers with the node beside it."""

import msgspec

HEALTH_CONNECTIONS_MAX = 1  # health checks share no connections with requests


class Announcement(msgspec.Struct, frozen=True):
    """One announcement or renewal of a server.

    Attributes
    ----------
    server : str
        Server id, unique in the system.
    service : str
    url : str
        Base URL, ``http://host:port``.
    slots : int
        Requests that the server can run concurrently.
    connections_max : int
        Concurrent connections that it accepts.
    start_id : str
        Changes whenever the server's process starts; "" if the node discovered the
        server, which has not announced itself yet.
    in_flight : int or None
        Requests that the server runs now by its own count.
    started_s : float
        Wall-clock start time of the server's process, which orders its starts; 0 if
        the server does not report it.
    cold_s : float or None
        Time until the server has warmed up; None if it does not report it, so that
        the node has to probe the server's capacity.
    cold_rate_per_s : float
        Requests per second that it can take while cold; 0 if unknown.
    health_path : str
        Path of its health endpoint, which answers immediately; "" if there is none.
        A server that accepts `HEALTH_CONNECTIONS_MAX` connections is not asked.
    version : str
        Version of the server's software; "" if unknown.
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
    version: str = ""

    @property
    def health_url(self) -> str:
        """URL of its health endpoint; "" if it can't be asked for its health.

        The connection of the health checks is kept. It must leave one for requests.
        """
        if not self.health_path or self.connections_max <= HEALTH_CONNECTIONS_MAX:
            return ""
        return self.url + self.health_path

    @property
    def request_connections_max(self) -> int:
        """Concurrent connections that requests may use beside health checks."""
        reserved = HEALTH_CONNECTIONS_MAX if self.health_url else 0
        return max(1, self.connections_max - reserved)

    def is_same_start(self, other: "Announcement") -> bool:
        """Tell whether `other` came from the same start of the server's process."""
        return other.start_id in ("", self.start_id)


class AnnounceAccepted(msgspec.Struct, frozen=True):
    """The node serves as the server's proxy.

    Attributes
    ----------
    renew_s : float
        Interval within which the server must renew its announcement.
    limit : int
        Current limit on concurrent requests.
    """

    renew_s: float
    limit: int


class AnnounceRefused(msgspec.Struct, frozen=True):
    """The node does not accept the server.

    Attributes
    ----------
    detail : str
        Human-readable reason, one line.
    """

    detail: str


AnnounceResult = AnnounceAccepted | AnnounceRefused
