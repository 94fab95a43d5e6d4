"""The fleet under attack: what may be hit now, and a record of what was."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from tests.processes.harness import Site, wait_until
from tests.soak.promises import Edit, Harm, Outage, Read
from tests.soak.proxy import Proxy

ORDER_RETRY_S = 0.5
VALUES = range(100)
BUSY_POLL_S = 0.1
REPLACED_S = 8.0  # until the keeper has replaced a holder of claims
NODES_LOCK, CONTROL_LOCK, DOMAIN_LOCK = "nodes", "control", "domains"


@dataclass(slots=True)
class Scene:
    """One run of the soak.

    Attributes
    ----------
    site : Site
    rng : Random
        Draws faults, targets and durations.
    proxies : dict of str to Proxy
    harms, outages, edits, reads : list
        What happened.
    ended : list of str
        Processes that ended though nobody told them to.
    """

    site: Site
    rng: random.Random
    proxies: dict[str, Proxy]
    harms: list[Harm] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    edits: list[Edit] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    entry_starts: int = 0
    _held: set[str] = field(default_factory=set)

    @property
    def fleet(self):
        """The processes."""
        return self.site.fleet

    @property
    def places(self):
        """Places by the name of their server."""
        return {place.name: place for place in self.fleet.places}

    @property
    def nodes(self):
        """Places by the name of their node."""
        return {self.fleet.name_node(place): place for place in self.fleet.places}

    @property
    def control_hosts(self):
        """Addresses of control hosts by their name."""
        return {self.fleet.name_control(h): h for h in self.fleet.control_hosts}

    def read_clock(self) -> float:
        """Return the clock of the servers' record."""
        return time.monotonic()

    def draw_value(self) -> int:
        """Return a value for a setting."""
        return self.rng.choice(VALUES)

    async def wait(self, least_s: float, most_s: float) -> None:
        """Let a fault last."""
        await asyncio.sleep(self.rng.uniform(least_s, most_s))

    def pick_process(self) -> str:
        """Return a process of any role."""
        groups = (self.places, self.nodes, self.control_hosts)
        return self.rng.choice(list(self.rng.choice(groups)))

    def pick_node(self) -> str:
        """Return a node."""
        return self.rng.choice(list(self.nodes))

    def pick_server(self) -> str:
        """Return a server."""
        return self.rng.choice(list(self.places))

    def pick_control(self) -> str:
        """Return a control host."""
        return self.rng.choice(list(self.control_hosts))

    def pick_all_control(self) -> list[str]:
        """Return every control host."""
        return list(self.control_hosts)

    def pick_proxy(self) -> str:
        """Return a proxy."""
        return self.rng.choice(list(self.proxies))

    def pick_domain(self) -> str:
        """Return a failure domain with servers."""
        return self.rng.choice(sorted({p.domain for p in self.fleet.places}))

    @contextlib.asynccontextmanager
    async def harm(self, kind: str, *names: str) -> AsyncIterator[str]:
        """Hold the targets of a fault alone, and record how long it lasted.

        Of nodes and of control hosts only one is hit at a time, unless a fault names
        all: that is what the system bears without asking callers to wait.
        """
        locks = {lock for name in names for lock in self._list_locks(name)}
        while self._held & locks:
            await asyncio.sleep(BUSY_POLL_S)
        self._held |= locks
        start_s = self.read_clock()
        try:
            yield names[0]
        finally:
            end_s = self.read_clock()
            self.harms += [Harm(name, kind, start_s, end_s) for name in names]
            self._held -= locks - {NODES_LOCK}
            if NODES_LOCK in locks:
                later = asyncio.get_running_loop().call_later
                later(REPLACED_S, self._held.discard, NODES_LOCK)

    def kill(self, name: str) -> None:
        """Kill a process, unless it has ended by itself."""
        if self.fleet.is_running(name):
            self.fleet.kill(name)

    def revive(self, name: str) -> None:
        """Start a process that has ended."""
        if name in self.places:
            self.fleet.start_server(self.places[name])
        elif name in self.nodes:
            self.entry_starts += 1
            self.fleet.start_node(self.nodes[name])
        else:
            self.fleet.start_control(self.control_hosts[name])

    def note_ended(self) -> None:
        """Record processes that ended though no fault holds them."""
        for name in self.fleet.list_exited():
            if not self._held & set(self._list_locks(name)):
                self.ended.append(f"{name} ended with {self.fleet.reap(name)}")
                self.revive(name)

    async def switch_server(self, name: str, **switches: float | bool) -> None:
        """Change a server's behaviour; one that was killed before may still start."""

        async def switch():
            try:
                return await self.site.set_behaviour(self.places[name], **switches)
            except OSError:
                return None

        await wait_until(switch, f"answer of {name}")

    async def repeat_order(self, *order: str) -> None:
        """Give an operator's order until it is accepted."""
        while (await self.site.operate(*order))[0] != 0:
            await asyncio.sleep(ORDER_RETRY_S)

    def _list_locks(self, name):
        if name in self.nodes:
            return [name, NODES_LOCK]
        if name in self.control_hosts:
            return [name, CONTROL_LOCK]
        return [name, DOMAIN_LOCK] if name not in self.proxies else [name]
