"""A node's part in remembering departures of its server.

A majority of the control hosts remembers each departure before the server gets its
acknowledgement, and a majority is asked before a start of a server is registered. So a
node that was killed in between does not register the server again.
"""

import asyncio
import math
from collections.abc import Callable, Sequence

from sapphireway_coordination.departures._table import (
    UNKNOWN_START_S,
    DepartureTable,
)
from sapphireway_protocol import (
    Departure,
    DepartureList,
    DepartureRecorded,
    ListDepartures,
    Peers,
    RecordDeparture,
)

TRY_S = 0.2  # until the hosts are asked again
WAIT_S = 0.6  # a server waits one second for its acknowledgement
STRAGGLER_WAIT_S = 0.1  # for the other hosts once a majority has answered
# For which hosts that don't answer are told again; then only once the server says again
# that it leaves.
RECORD_TIME_S = 10.0
# Without a majority for this long, a server is registered all the same: it would get no
# work as long as the control hosts are away.
UNCHECKED_MAX_S = 5.0
STARTS_KEPT = 64  # a node has one server at a time

GetHosts = Callable[[], Sequence[str]]
"""Returns the addresses of the control hosts."""


class _Recording:
    """A departure that the control hosts are told.

    Attributes
    ----------
    left_s : float
        Loop time of the departure.
    tasks : dict of str to Task
        By control host; their result is whether it remembers the departure.
    """

    __slots__ = ("left_s", "tasks")

    def __init__(self, left_s: float):
        self.left_s = left_s
        self.tasks = {}

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks.values():
            task.cancel()


class DepartureClient:
    """Records departures at the control hosts and checks starts against them.

    Parameters
    ----------
    peers : Peers
    get_hosts : callable
        With no hosts, departures are remembered in this process only.
    """

    __slots__ = (
        "_checked",
        "_get_hosts",
        "_loop",
        "_peers",
        "_recordings",
        "_table",
        "_unchecked_since_s",
    )

    def __init__(self, peers: Peers, get_hosts: GetHosts):
        self._checked = {}
        self._get_hosts = get_hosts
        self._loop = asyncio.get_running_loop()
        self._peers = peers
        self._recordings = {}
        self._table = DepartureTable(self._loop.time)
        self._unchecked_since_s = {}

    def close(self) -> None:
        """Cancel all background tasks."""
        for recording in self._recordings.values():
            recording.cancel()

    def has_left(self, server: str, start_id: str) -> bool:
        """Tell whether a start is known to have left."""
        return self._table.has_left(server, start_id)

    def record(self, server: str, start_id: str) -> None:
        """Remember a departure, and begin to tell the control hosts."""
        departure = Departure(server, start_id)
        self._table.record(departure)
        known = self._recordings.get(departure)
        now_s = self._loop.time()
        if known is None or (not start_id and now_s - known.left_s > UNKNOWN_START_S):
            self._recordings[departure] = _Recording(now_s)
        self._tell_hosts(departure)
        if len(self._recordings) > STARTS_KEPT:
            oldest = next(iter(self._recordings))
            self._recordings.pop(oldest).cancel()

    def _tell_hosts(self, departure):
        """Tell a departure to the control hosts that don't remember it yet."""
        recording = self._recordings[departure]
        for host in self._get_hosts():
            task = recording.tasks.get(host)
            if task is None or (task.done() and not _has_succeeded(task)):
                recording.tasks[host] = self._loop.create_task(
                    self._record_at(host, departure, recording.left_s)
                )

    async def wait_until_recorded(self, server: str) -> bool:
        """Wait until a majority remembers the departures of a server.

        Hosts that could not be told before are told again.

        Returns
        -------
        bool
            False if it does not in `WAIT_S`.
        """
        departures = [each for each in self._recordings if each.server == server]
        for departure in departures:
            self._tell_hosts(departure)
        hosts = self._get_hosts()
        recordings = [self._recordings[each].tasks for each in departures]
        results = await asyncio.gather(
            *(
                self._wait_for_majority([tasks[host] for host in hosts], WAIT_S)
                for tasks in recordings
            )
        )
        return all(results)

    async def check(self, server: str, start_id: str) -> None:
        """Ask the control hosts whether a start has left, unless this is known."""
        start = server, start_id
        if start in self._checked or self._table.has_left(server, start_id):
            return
        if len(self._unchecked_since_s) > STARTS_KEPT:
            self._unchecked_since_s.clear()
        self._unchecked_since_s.setdefault(start, self._loop.time())
        end_s = self._loop.time() + WAIT_S
        next_s = self._loop.time() + TRY_S
        while not await self._ask(server):
            if next_s >= end_s:
                return
            # A question to a host that is down fails at once.
            await asyncio.sleep(next_s - self._loop.time())
            next_s += TRY_S
        self._unchecked_since_s.pop(start, None)
        self._checked[start] = True
        if len(self._checked) > STARTS_KEPT:
            del self._checked[next(iter(self._checked))]

    def is_checked(self, server: str, start_id: str) -> bool:
        """Tell whether a start may be registered if it isn't known to have left."""
        if (server, start_id) in self._checked or not self._get_hosts():
            return True
        since_s = self._unchecked_since_s.get((server, start_id), math.inf)
        return self._loop.time() - since_s >= UNCHECKED_MAX_S

    async def _ask(self, server):
        """Return whether a majority has told the departures of a server."""
        tasks = [
            self._loop.create_task(self._ask_host(host, server))
            for host in self._get_hosts()
        ]
        try:
            return await self._wait_for_majority(tasks, TRY_S)
        finally:
            for task in tasks:
                task.cancel()

    async def _ask_host(self, host, server):
        reply = await self._peers.request(host, ListDepartures(server), TRY_S)
        if reply is None or not isinstance(reply.message, DepartureList):
            return False
        for departure in reply.message.departures:
            self._table.record(departure)
        return True

    async def _record_at(self, host, departure, left_s):
        end_s = self._loop.time() + RECORD_TIME_S
        while (now_s := self._loop.time()) < end_s:
            message = RecordDeparture(
                Departure(departure.server, departure.start_id, now_s - left_s)
            )
            reply = await self._peers.request(host, message, TRY_S)
            if reply is not None and isinstance(reply.message, DepartureRecorded):
                return True
            await asyncio.sleep(TRY_S / 2)
        return False

    async def _wait_for_majority(self, tasks, timeout_s):
        """Return whether more than half of the tasks have returned True in time."""
        end_s = self._loop.time() + timeout_s
        pending = set(tasks)
        while pending and (remaining_s := end_s - self._loop.time()) > 0.0:
            _, pending = await asyncio.wait(
                pending, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
            )
            if _count_successes(tasks) > len(tasks) // 2:
                end_s = min(end_s, self._loop.time() + STRAGGLER_WAIT_S)
        return not tasks or _count_successes(tasks) > len(tasks) // 2


def _has_succeeded(task):
    return task.done() and not task.cancelled() and task.result()


def _count_successes(tasks):
    return sum(map(_has_succeeded, tasks))
