"""Announcements by which a server registers with the node beside it."""

import re
import urllib.parse

import msgspec

SLOTS_MAX = 100_000
COLD_MAX_S = 3_600.0
# Of the time that servers of a service are cold for after a start. A setting that was
# reduced lately may not have been in force when the server started.
COLD_MAX_FACTOR = 2.0
# A start after the present would order after all later starts of the server. The clocks
# of server and node may differ by less than this.
CLOCK_DIFFERENCE_MAX_S = 86_400.0
_SERVER_ID = re.compile("[!-~]{1,200}")  # it is sent in a header
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
    cold_max_s : float
        Longest time for which the server can be cold; what it reports beyond it is
        reduced to this.
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
    cold_max_s: float = COLD_MAX_S

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


def compute_cold_max(cold_start_s: float) -> float:
    """Return the longest time for which a server can be cold.

    Parameters
    ----------
    cold_start_s : float
        Time for which servers of its service are cold after a start; 0 if not known.
    """
    if not cold_start_s:
        return COLD_MAX_S
    return min(COLD_MAX_FACTOR * cold_start_s, COLD_MAX_S)


class Assignment(msgspec.Struct, frozen=True):
    """Server that belongs to a node by its settings.

    Attributes
    ----------
    service, url : str
        "" if the settings leave it open.
    """

    service: str = ""
    url: str = ""


ANY_SERVER = Assignment()


def find_announcement_error(
    announcement: Announcement, assignment: Assignment, wall_clock_s: float
) -> str:
    """Return why an announcement can't be of the server of a node; "" if it can.

    Parameters
    ----------
    announcement : Announcement
    assignment : Assignment
    wall_clock_s : float
        Present Unix time.
    """
    if not _SERVER_ID.fullmatch(announcement.server):
        return "the server's id has 1 to 200 printable ASCII characters"
    if announcement.service != (assignment.service or announcement.service):
        return f"the server of this node belongs to service {assignment.service!r}"
    if announcement.url != (assignment.url or announcement.url):
        return f"the server of this node is at {assignment.url}"
    if not _is_base_url(announcement.url):
        return f"{announcement.url!r} is not http://host:port"
    if not 1 <= announcement.slots <= SLOTS_MAX:
        return f"a server has 1 to {SLOTS_MAX} slots"
    if not 0.0 <= (announcement.cold_s or 0.0) <= COLD_MAX_S:
        return f"a server is cold for at most {COLD_MAX_S:.0f} s"
    return find_start_error(announcement.started_s, wall_clock_s)


def find_start_error(started_s: float, wall_clock_s: float) -> str:
    """Return why a server's process can't have started at a Unix time, or ""."""
    if started_s > wall_clock_s + CLOCK_DIFFERENCE_MAX_S:
        return "the server's start is in the future"
    return ""


def _is_base_url(url):
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port  # raises ValueError if out of range
    except ValueError:
        return False
    return bool(parts.hostname) and port != 0 and url == f"http://{parts.netloc}"


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
