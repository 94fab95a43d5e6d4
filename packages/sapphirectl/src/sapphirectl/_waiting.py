"""Polling until an edit has taken effect, with progress messages."""

from collections.abc import Callable
from dataclasses import dataclass

from sapphirectl._client import fetch
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import Connection
from sapphirectl._output import print_message
from sapphireway_state import StatusReport

POLL_S = 1.0
IDLE_POLLS = 2
"""A target is idle after more than this many polls in a row without new work."""

Sleep = Callable[[float], None]


@dataclass(slots=True, frozen=True)
class Target:
    """A failure domain or a server.

    Attributes
    ----------
    kind : str
        ``domain`` or ``server``.
    name : str
    """

    kind: str
    name: str

    @property
    def level(self) -> str:
        """Key of the section of the settings tree that holds the target."""
        return self.kind + "s"

    def describe(self) -> str:
        """Return kind and name for messages."""
        return f"{self.kind} {self.name}"


def wait_until_idle(
    connection: Connection,
    target: Target,
    version: int,
    timeout_s: float,
    sleep: Sleep,
) -> Failure | None:
    """Wait until a version is in force everywhere and a target gets no new work."""
    started = {}
    idle_polls = 0

    def is_idle(report):
        nonlocal idle_polls
        servers = [
            server
            for server in report.servers
            if getattr(server, target.kind) == target.name
        ]
        new = _count_new_requests(servers, started)
        behind = _list_nodes_behind(report, version)
        in_flight = sum(server.in_flight for server in servers)
        print_message(
            f"{target.describe()}: {new} new, {in_flight} in flight, "
            f"{_describe_progress(report, behind, version)}"
        )
        idle_polls = 0 if new or behind else idle_polls + 1
        return idle_polls > IDLE_POLLS

    return _poll(connection, is_idle, timeout_s, sleep)


def wait_until_in_force(
    connection: Connection, version: int, timeout_s: float, sleep: Sleep
) -> Failure | None:
    """Wait until a version is in force on all nodes."""

    def is_in_force(report):
        behind = _list_nodes_behind(report, version)
        print_message(_describe_progress(report, behind, version))
        return not behind

    return _poll(connection, is_in_force, timeout_s, sleep)


def _poll(connection, is_done, timeout_s, sleep):
    for _ in range(max(1, int(timeout_s / POLL_S))):
        report = fetch(connection, "/v1/status", StatusReport)
        if isinstance(report, Failure):
            print_message(report.detail)
        elif is_done(report):
            return None
        sleep(POLL_S)
    detail = f"timed out after {timeout_s:g} s; the edit stays in force"
    return Failure(ExitCode.WAIT_TIMEOUT, detail)


def _count_new_requests(servers, started):
    new = 0
    for server in servers:
        # A poll may be answered by another node that is behind; counts only grow.
        before = started.get(server.server, server.started)
        new += max(0, server.started - before)
        started[server.server] = max(before, server.started)
    return new


def _list_nodes_behind(report, version):
    # A node without a lease may never return.
    return [node.node for node in report.nodes if node.alive and node.version < version]


def _describe_progress(report, behind, version):
    alive = sum(node.alive for node in report.nodes)
    return f"{len(behind)} of {alive} nodes behind version {version}"
