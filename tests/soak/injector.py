"""Selects targets of faults, excludes conflicting faults, and records all of them."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tests.processes.harness import FleetHarness, wait_until
from tests.soak.guarantees import (
    Departure,
    Edit,
    Evacuation,
    InjectedFault,
    Limit,
    Read,
)
from tests.soak.proxy import Proxy

COMMAND_RETRY_S = 0.5
COMMAND_TIMEOUT_S = 120.0
SETTING_VALUES = range(100)
LOCK_POLL_S = 0.1
HOLDER_REPLACEMENT_S = 8.0  # until the controller has replaced a claim holder
NODES_LOCK, CONTROL_LOCK, SERVERS_LOCK = "nodes", "control", "servers"


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into a fleet during one run of the soak test.

    Attributes
    ----------
    harness : FleetHarness
    rng : Random
        Determines faults, targets and durations.
    proxies : dict of str to Proxy
    faults, evacuations, limits, departures, edits, reads : list
        Records for the checks of the guarantees.
    unexpected_exits : list of str
        Processes that exited although no fault targeted them.
    node_starts : int
        Number of times that nodes were started.
    """

    harness: FleetHarness
    rng: random.Random
    proxies: dict[str, Proxy]
    faults: list[InjectedFault] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    limits: list[Limit] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    node_starts: int = 0
    _locked: set[str] = field(default_factory=set)

    @property
    def fleet(self):
        """The fleet of the harness."""
        return self.harness.fleet

    @property
    def places(self):
        """Places by server name."""
        return {place.name: place for place in self.fleet.places}

    @property
    def nodes(self):
        """Places by node name."""
        return {self.fleet.name_node(place): place for place in self.fleet.places}

    @property
    def control_hosts(self):
        """Addresses of control hosts by name."""
        return {self.fleet.name_control(h): h for h in self.fleet.control_hosts}

    def read_clock(self) -> float:
        """Return the monotonic time, which the servers record too."""
        return time.monotonic()

    def pick_setting_value(self) -> int:
        """Choose a value for `trace_percent`."""
        return self.rng.choice(SETTING_VALUES)

    async def sleep_random(self, min_s: float, max_s: float) -> None:
        """Sleep for a random time within the bounds."""
        await asyncio.sleep(self.rng.uniform(min_s, max_s))

    def pick_process(self) -> str:
        """Choose a server, node or control host."""
        groups = (self.places, self.nodes, self.control_hosts)
        return self.rng.choice(list(self.rng.choice(groups)))

    def pick_node(self) -> str:
        """Choose a node."""
        return self.rng.choice(list(self.nodes))

    def pick_server(self) -> str:
        """Choose a server."""
        return self.rng.choice(list(self.places))

    def pick_control(self) -> str:
        """Choose a control host."""
        return self.rng.choice(list(self.control_hosts))

    def list_control_hosts(self) -> list[str]:
        """Return the names of all control hosts."""
        return list(self.control_hosts)

    def pick_proxy(self) -> str:
        """Choose a proxy."""
        return self.rng.choice(list(self.proxies))

    def pick_domain(self) -> str:
        """Choose a failure domain that has servers."""
        return self.rng.choice(sorted({p.domain for p in self.fleet.places}))

    @contextlib.asynccontextmanager
    async def inject(self, kind: str, *targets: str) -> AsyncIterator[str]:
        """Lock the targets of a fault while it is in effect, then record it.

        At a time only one node, one control host, and one server or failure domain are
        locked, unless a fault has several targets: the system tolerates these faults
        together without making callers wait.
        """
        locks = {lock for name in targets for lock in self._list_locks(name)}
        while self._locked & locks:
            await asyncio.sleep(LOCK_POLL_S)
        self._locked |= locks
        start_s = self.read_clock()
        try:
            yield targets[0]
        finally:
            end_s = self.read_clock()
            self.faults += [InjectedFault(t, kind, start_s, end_s) for t in targets]
            self._locked -= locks - {NODES_LOCK}
            if NODES_LOCK in locks:
                schedule = asyncio.get_running_loop().call_later
                schedule(HOLDER_REPLACEMENT_S, self._locked.discard, NODES_LOCK)

    def kill(self, name: str) -> None:
        """Kill a process, unless it has exited already."""
        if self.fleet.is_running(name):
            self.fleet.kill(name)

    def restart(self, name: str) -> None:
        """Start a process that has exited."""
        if name in self.places:
            self.fleet.start_server(self.places[name])
        elif name in self.nodes:
            self.node_starts += 1
            self.fleet.start_node(self.nodes[name])
        else:
            self.fleet.start_control(self.control_hosts[name])

    def record_unexpected_exits(self) -> None:
        """Record and restart processes that exited without being locked by a fault."""
        for name in self.fleet.list_exited():
            if not self._locked & set(self._list_locks(name)):
                self.unexpected_exits.append(
                    f"{name} exited with status {self.fleet.reap(name)}"
                )
                self.restart(name)

    async def configure_server(self, name: str, **behaviour: float | bool) -> None:
        """Change the behaviour of a server, which may still be starting."""

        async def try_set_behaviour():
            try:
                return await self.harness.set_behaviour(self.places[name], **behaviour)
            except OSError:
                return None

        await wait_until(try_set_behaviour, f"answer of {name}")

    async def retry_sapphirectl(self, *arguments: str) -> None:
        """Run a command of sapphirectl until it succeeds; fail after a time."""

        async def run_command():
            status, _ = await self.harness.run_sapphirectl(*arguments)
            if status != 0:
                await asyncio.sleep(COMMAND_RETRY_S)
            return status == 0

        command = f"success of sapphirectl {' '.join(arguments)}"
        await wait_until(run_command, command, COMMAND_TIMEOUT_S)

    def _list_locks(self, name):
        if name in self.nodes:
            return [name, NODES_LOCK]
        if name in self.control_hosts:
            return [name, CONTROL_LOCK]
        return [name, SERVERS_LOCK] if name not in self.proxies else [name]
