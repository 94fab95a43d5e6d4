"""Simulation of one service's servers and entry nodes on the paused clock."""

import asyncio
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from benchmarks._server import ServerFaults, StandInServer
from sapphireway_coordination import Call, Dispatcher, Member
from sapphireway_protocol import Answered, Peers
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork

DOMAINS = ("bxl-a", "bxl-b", "mech-a", "lvn-a")
CROSS_DOMAIN_DELAY_S = 0.0015
LOCAL_DELAY_S = 0.0001
SERVERS = 5
ENTRY_NODES = 9
SLOTS = 6
WORK_MEAN_S = 0.02
WORK_SIGMA = 0.5
CAPACITY_PER_S = SERVERS * SLOTS / WORK_MEAN_S
DEADLINE_S = 1.0
READ_SHARE = 0.7


@dataclass(slots=True, frozen=True)
class CallRecord:
    """The result of one call.

    Attributes
    ----------
    arrived_s : float
    latency_s : float
        Time until a good answer; the whole deadline for any other outcome.
    elapsed_s : float
        Time until the outcome.
    kind : str
    weight : int
    good : bool
        True if the server answered in time and without an error.
    outcome : str
    """

    arrived_s: float
    latency_s: float
    elapsed_s: float
    kind: str
    weight: int
    good: bool
    outcome: str


@dataclass(slots=True)
class Scenario:
    """Load and faults of a run.

    Attributes
    ----------
    name : str
    duration_s : float
    load : callable
        ``load(now_s)`` returns the arrival rate as a share of the capacity.
    faults : callable
        ``faults(rng)`` returns a `ServerFaults` for each server.
    change_fleet : callable or None
        Coroutine function that changes the fleet while it runs.
    events : dict of str to float
        Start times of the events after which the recovery is measured, in order.
    """

    name: str
    duration_s: float
    load: Callable[[float], float] = lambda now_s: 0.6
    faults: Callable = lambda rng: [ServerFaults() for _ in range(SERVERS)]
    change_fleet: Callable | None = None
    events: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FleetResult:
    """Calls and costs of one run."""

    calls: list[CallRecord] = field(default_factory=list)
    probes: int = 0
    messages: int = 0
    retries: int = 0


class Fleet:
    """Servers of one service and the entry nodes that call it.

    Parameters
    ----------
    seed : int
        Determines arrivals, work and faults, so that runs of variants can be paired.
    make_dispatcher : callable
        ``make_dispatcher(peers, get_members, rng)``.
    policy : Policy
    """

    def __init__(self, seed, scenario, make_dispatcher, policy):
        self.scenario = scenario
        self.seed = seed
        self.policy = policy
        self.network = MemoryNetwork(random.Random(seed), self._get_delay)
        self.domains = {}
        self.out_domains = set()
        self.isolated_domains = set()
        self.result = FleetResult()
        work_rng = random.Random(seed + 1)
        mu = math.log(WORK_MEAN_S) - WORK_SIGMA**2 / 2
        self._draw_work = lambda: work_rng.lognormvariate(mu, WORK_SIGMA)
        self._incarnation_numbers = itertools.count(2)
        faults = scenario.faults(random.Random(seed + 2))
        self.members = {}
        self.servers = {}
        for index in range(SERVERS):
            self._start_server(f"s{index}", DOMAINS[index % 4], faults[index], "1")
        self.dispatchers = {}
        for index in range(ENTRY_NODES):
            address = f"e{index}"
            self.domains[address] = DOMAINS[index % 4]
            peers = Peers(self.network.open_endpoint(address), f"i{index}")
            peers.start()
            self.dispatchers[address] = make_dispatcher(
                peers, self._make_get_members(index), random.Random(seed + 10 + index)
            )

    def _get_delay(self, sender, receiver):
        same_domain = self.domains[sender] == self.domains[receiver]
        return LOCAL_DELAY_S if same_domain else CROSS_DOMAIN_DELAY_S

    def _start_server(self, name, domain, faults, incarnation):
        self.domains[name] = domain
        if name in self.servers:
            self.servers[name].stop()
        self.servers[name] = StandInServer(
            self.network.open_endpoint(name),
            f"{name}-{incarnation}",
            name,
            SLOTS,
            random.Random(self.seed),
            self._draw_work,
            faults,
        )
        self.members[name] = Member(
            name, "match", name, domain, "be", f"{name}-{incarnation}", "1", SLOTS
        )

    def _make_get_members(self, index):
        # One view per entry node, as directories can learn of a change at different
        # times; here all views are the same.
        def get_members(service):
            return self._views[index]

        return get_members

    @property
    def _views(self):
        return [tuple(self.members.values())] * ENTRY_NODES

    def is_slow(self, name, now_s):
        """Return whether a server is in one of its slow windows."""
        windows = self.servers[name].faults.slow
        return any(x.start_s <= now_s < x.end_s for x in windows)

    def take_domain_out(self, domain):
        """Make a domain's nodes refuse new work, as if an operator took it out."""
        for name, server in self.servers.items():
            if self.domains[name] == domain:
                server.refusing = True

    def publish_out(self, domain):
        """Mark the domain's servers as out in the members that entry nodes see."""
        self.out_domains.add(domain)
        for name, member in self.members.items():
            if member.domain == domain:
                self.members[name] = msgspec.structs.replace(member, out=True)

    def isolate_domain(self, domain):
        """Cut all links of a domain without notice; its servers' replies are lost."""
        self.isolated_domains.add(domain)
        isolated = [name for name, d in self.domains.items() if d == domain]
        for name in isolated:
            for other in self.domains:
                self.network.cut(name, other)
                self.network.cut(other, name)

    def remove_members(self, domain):
        """Remove an isolated domain's servers from the members that entry nodes see."""
        for name in [n for n, m in self.members.items() if m.domain == domain]:
            del self.members[name]

    def return_domain(self, domain):
        """Reconnect a domain with restarted nodes and cold servers."""
        self.network.heal_all()
        self.isolated_domains.discard(domain)
        for name, server in list(self.servers.items()):
            if self.domains[name] == domain:
                incarnation = str(next(self._incarnation_numbers))
                self._start_server(name, domain, server.faults, incarnation)
                self.servers[name].start_cold()

    async def run(self):
        """Send the load for the scenario's duration and return the result."""
        rng = random.Random(self.seed + 3)
        loop = asyncio.get_running_loop()
        tasks = set()
        if self.scenario.change_fleet is not None:
            tasks.add(loop.create_task(self.scenario.change_fleet(self)))
        call_numbers = itertools.count()
        while loop.time() < self.scenario.duration_s:
            rate_per_s = self.scenario.load(loop.time()) * CAPACITY_PER_S
            await asyncio.sleep(rng.expovariate(rate_per_s))
            kind = "read" if rng.random() < READ_SHARE else "booking"
            entry = self._pick_entry(rng)
            task = loop.create_task(self._call(entry, kind, next(call_numbers)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        return self._collect_result()

    def _pick_entry(self, rng):
        reachable = [
            x for x in self.dispatchers if self.domains[x] not in self.isolated_domains
        ]
        return reachable[int(rng.random() * len(reachable))]

    async def _call(self, entry, kind, number):
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        read = kind == "read"
        policy = msgspec.structs.replace(
            self.policy, idempotent=read, weight=10 if read else 50
        )
        deadline_s = arrived_s + DEADLINE_S
        call_id = f"c{number}"
        call = Call(
            call_id, "match", kind, "GET", "/", (), b"", deadline_s, None, policy
        )
        outcome = await self.dispatchers[entry].dispatch(call)
        took_s = loop.time() - arrived_s
        good = isinstance(outcome, Answered) and outcome.status < 500
        if good and outcome.body != call_id.encode():
            raise AssertionError(
                f"seed {self.seed}: {call_id} got the answer of another call"
            )
        self.result.calls.append(
            CallRecord(
                arrived_s,
                took_s if good else DEADLINE_S,
                took_s,
                kind,
                policy.weight,
                good,
                type(outcome).__name__,
            )
        )

    def _collect_result(self):
        result = self.result
        for dispatcher in self.dispatchers.values():
            states = dispatcher.services.list_states()
            result.retries += sum(state.budget.spent for _, state in states)
            result.probes += dispatcher.prober.budget.spent
        result.messages = self.network.messages_sent
        return result


def make_baseline(make_choose):
    """Return a factory of baseline dispatchers that differ only in server choice.

    ``make_choose()`` returns the rule that chooses a server.
    """

    def make_dispatcher(peers, get_members, rng):
        return Dispatcher(peers, get_members, rng, choose=make_choose())

    return make_dispatcher


BASE_POLICY = Policy(
    hedge_percentile=0.0, deadline_ms=1000, probe_rate_per_s=0.0, panic_percent=0.0
)
