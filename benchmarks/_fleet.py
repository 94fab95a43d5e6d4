"""Entry nodes and stand-in servers of one service on the paused clock."""

import asyncio
import dataclasses
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks._server import ServerFaults, StandInServer
from sapphireway_coordination import Call, Dispatcher, Member
from sapphireway_protocol import Answered, Peers
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork

DOMAINS = ("bxl-a", "bxl-b", "mech-a", "lvn-a")
DOMAIN_DELAY_S = 0.0015
LOCAL_DELAY_S = 0.0001
SERVERS = 5
ENTRIES = 9
SLOTS = 6
WORK_MEAN_S = 0.02
WORK_SIGMA = 0.5
CAPACITY_PER_S = SERVERS * SLOTS / WORK_MEAN_S
DEADLINE_S = 1.0
READ_SHARE = 0.7


@dataclass(slots=True, frozen=True)
class CallRecord:
    """How one call of the benchmark ended.

    Attributes
    ----------
    arrived_s : float
    took_s : float
        Time to a good answer; the whole deadline for any other outcome.
    ended_s : float
        Time to the outcome.
    kind : str
    weight : int
    good : bool
        True if the server answered well and in time.
    outcome : str
    """

    arrived_s: float
    took_s: float
    ended_s: float
    kind: str
    weight: int
    good: bool
    outcome: str


@dataclass(slots=True)
class Scenario:
    """Load and faults of one run.

    Attributes
    ----------
    name : str
    duration_s : float
    load : callable
        ``load(now_s)`` is the arrival rate as a share of the capacity.
    faults : callable
        ``faults(rng)`` returns a `ServerFaults` for each server.
    conduct : callable or None
        Coroutine function that changes the fleet while it runs.
    events : dict of str to float
        When what happened that service must recover from, in order.
    """

    name: str
    duration_s: float
    load: Callable[[float], float] = lambda now_s: 0.6
    faults: Callable = lambda rng: [ServerFaults() for _ in range(SERVERS)]
    conduct: Callable | None = None
    events: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FleetResult:
    """Calls and costs of one run."""

    calls: list[CallRecord] = field(default_factory=list)
    probes: int = 0
    messages: int = 0
    retries: int = 0


class Fleet:
    """One service's servers, and entry nodes that call it.

    Parameters
    ----------
    seed : int
        The same seed gives the same arrivals, work and faults to each variant.
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
        self.lost_domains = set()
        self.result = FleetResult()
        work_rng = random.Random(seed + 1)
        mu = math.log(WORK_MEAN_S) - WORK_SIGMA**2 / 2
        self._draw_work = lambda: work_rng.lognormvariate(mu, WORK_SIGMA)
        self._restarts = itertools.count(2)
        faults = scenario.faults(random.Random(seed + 2))
        self.members = {}
        self.servers = {}
        for index in range(SERVERS):
            self._open_server(f"s{index}", DOMAINS[index % 4], faults[index], "1")
        self.dispatchers = {}
        for index in range(ENTRIES):
            address = f"e{index}"
            self.domains[address] = DOMAINS[index % 4]
            peers = Peers(self.network.open_endpoint(address), f"i{index}")
            peers.start()
            self.dispatchers[address] = make_dispatcher(
                peers, self._make_get_members(index), random.Random(seed + 10 + index)
            )

    def _get_delay(self, sender, receiver):
        same = self.domains[sender] == self.domains[receiver]
        return LOCAL_DELAY_S if same else DOMAIN_DELAY_S

    def _open_server(self, name, domain, faults, incarnation):
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
        # Directories differ in how late they hear of a change.
        def get_members(service):
            return self._views[index]

        return get_members

    @property
    def _views(self):
        return [tuple(self.members.values())] * ENTRIES

    def is_slow(self, name, now_s):
        """Tell whether a server is in one of its slow windows."""
        windows = self.servers[name].faults.slow
        return any(x.start_s <= now_s < x.end_s for x in windows)

    def take_domain_out(self, domain):
        """Announce that operators took a domain out: its nodes refuse new work."""
        for name, server in self.servers.items():
            if self.domains[name] == domain:
                server.refusing = True

    def publish_out(self, domain):
        """Let every directory list the domain's servers as out."""
        self.out_domains.add(domain)
        for name, member in self.members.items():
            if member.domain == domain:
                self.members[name] = dataclasses.replace(member, out=True)

    def lose_domain(self, domain):
        """Cut a domain off without notice; its servers' work is lost."""
        self.lost_domains.add(domain)
        lost = [name for name, d in self.domains.items() if d == domain]
        for name in lost:
            for other in self.domains:
                self.network.cut(name, other)
                self.network.cut(other, name)

    def remove_lost(self, domain):
        """Let the directories drop a lost domain's members."""
        for name in [n for n, m in self.members.items() if m.domain == domain]:
            del self.members[name]

    def return_domain(self, domain):
        """Bring a domain back with restarted nodes and cold servers."""
        self.network.heal_all()
        self.lost_domains.discard(domain)
        for name, server in list(self.servers.items()):
            if self.domains[name] == domain:
                incarnation = str(next(self._restarts))
                self._open_server(name, domain, server.faults, incarnation)
                self.servers[name].start_cold()

    async def run(self):
        """Offer the load for the scenario's duration and return the result."""
        rng = random.Random(self.seed + 3)
        loop = asyncio.get_running_loop()
        tasks = set()
        if self.scenario.conduct is not None:
            tasks.add(loop.create_task(self.scenario.conduct(self)))
        numbers = itertools.count()
        while loop.time() < self.scenario.duration_s:
            rate_per_s = self.scenario.load(loop.time()) * CAPACITY_PER_S
            await asyncio.sleep(rng.expovariate(rate_per_s))
            kind = "read" if rng.random() < READ_SHARE else "booking"
            entry = self._pick_entry(rng)
            task = loop.create_task(self._call(entry, kind, next(numbers)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        return self._finish()

    def _pick_entry(self, rng):
        living = [
            x for x in self.dispatchers if self.domains[x] not in self.lost_domains
        ]
        return living[int(rng.random() * len(living))]

    async def _call(self, entry, kind, number):
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        read = kind == "read"
        policy = dataclasses.replace(
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
            raise AssertionError(f"seed {self.seed}: {call_id} got another's answer")
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

    def _finish(self):
        result = self.result
        for dispatcher in self.dispatchers.values():
            states = dispatcher.services.list_states()
            result.retries += sum(state.budget.spent for _, state in states)
            result.probes += dispatcher.prober.budget.spent
        result.messages = self.network.messages_sent
        return result


def make_plain(choose):
    """Return a maker of baseline dispatchers that only differ in their choice."""

    def make_dispatcher(peers, get_members, rng):
        return Dispatcher(peers, get_members, rng, choose=choose())

    return make_dispatcher


BASE_POLICY = Policy(
    hedge_percentile=0.0, deadline_ms=1000, probe_rate_per_s=0.0, panic_percent=0.0
)
