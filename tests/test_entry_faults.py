"""Seeded simulations of entry nodes and server nodes with faults of the network."""

import asyncio
import collections
import random
from dataclasses import dataclass, field

import pytest
from benchmarks._server import ServerFaults, StandInServer

from sapphireway_coordination import Call, Dispatcher, Member
from sapphireway_protocol import Answered, Failed, NotRun, Peers
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, run_paused

SERVERS = 4
ENTRIES = 5
SLOTS = 2
DURATION_S = 12.0
CALLS_PER_S = 220.0
DEADLINE_S = 0.4


@dataclass
class Simulation:
    """State of one simulation.

    Attributes
    ----------
    run_counters : list of Counter
        Runs by call id, one counter for each start of a server.
    outcomes : dict
        Outcome by call id; None if the caller cancelled the call.
    """

    seed: int
    rng: random.Random
    network: MemoryNetwork
    servers: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    run_counters: list = field(default_factory=list)
    outcomes: dict = field(default_factory=dict)
    starts: collections.Counter = field(default_factory=collections.Counter)

    def start_server(self, name):
        if name in self.servers:
            self.servers[name].stop()
        self.starts[name] += 1
        incarnation = f"{name}-{self.starts[name]}"
        rng = random.Random(f"{self.seed}{incarnation}")
        server = StandInServer(
            self.network.open_endpoint(name),
            incarnation,
            name,
            SLOTS,
            rng,
            lambda: rng.lognormvariate(-3.5, 0.8),
            ServerFaults(),
        )
        self.servers[name] = server
        self.run_counters.append(server.runs)
        # The entry nodes learn of a restart at once, late or only after the next one.
        delay_s = self.rng.choice([0.0, 0.05, 0.5, 5.0])
        asyncio.get_running_loop().call_later(delay_s, self._publish, name, incarnation)
        if name not in self.members:
            self._publish(name, incarnation)

    def _publish(self, name, incarnation):
        self.members[name] = Member(name, "s", name, name, "r", incarnation, "1", SLOTS)

    def count_runs(self, call_id):
        return sum(runs[call_id] for runs in self.run_counters)


async def inject_faults(simulation):
    names = [f"n{i}" for i in range(SERVERS)]
    entries = [f"e{i}" for i in range(ENTRIES)]
    while True:
        await asyncio.sleep(simulation.rng.expovariate(8.0))
        name, entry = simulation.rng.choice(names), simulation.rng.choice(entries)
        fault = simulation.rng.choice(
            ["lose", "delay", "cut", "heal", "freeze", "restart"]
        )
        if fault == "lose":
            simulation.network.drop_rate = simulation.rng.choice([0.0, 0.0, 0.05, 0.3])
            simulation.network.duplicate_rate = simulation.rng.choice([0.0, 0.1, 0.5])
        elif fault == "delay":
            simulation.network.jitter_s = simulation.rng.choice([0.0, 0.005, 0.1])
        elif fault == "cut":
            simulation.network.cut(*simulation.rng.sample([name, entry], 2))
        elif fault == "heal":
            simulation.network.heal_all()
        elif fault == "freeze":
            simulation.network.freeze(name)
            thaw_s = simulation.rng.choice([0.02, 0.2, 0.6])
            asyncio.get_running_loop().call_later(thaw_s, simulation.network.thaw, name)
        else:
            simulation.start_server(name)


async def make_call(simulation, dispatcher, call_id, idempotent):
    loop = asyncio.get_running_loop()
    policy = Policy(idempotent=idempotent, retry_budget_percent=50.0)
    call = Call(
        call_id,
        "s",
        "read" if idempotent else "booking",
        "POST",
        "/",
        (),
        b"",
        loop.time() + DEADLINE_S,
        None,
        policy,
    )
    task = loop.create_task(dispatcher.dispatch(call))
    if simulation.rng.random() < 0.05:
        loop.call_later(simulation.rng.uniform(0.0, 0.1), task.cancel)
    await asyncio.wait([task])
    simulation.outcomes[call_id] = None if task.cancelled() else task.result()
    if not task.cancelled():
        late_s = loop.time() - call.deadline_s
        assert late_s < 1e-6, f"seed {simulation.seed}: {call_id} ended {late_s} s late"


async def simulate(seed):
    rng = random.Random(seed)
    simulation = Simulation(seed, rng, MemoryNetwork(random.Random(seed + 1)))
    for index in range(SERVERS):
        simulation.start_server(f"n{index}")
    dispatchers = []
    for index in range(ENTRIES):
        peers = Peers(simulation.network.open_endpoint(f"e{index}"), f"e{index}-1")
        peers.start()
        dispatchers.append(
            Dispatcher(
                peers,
                lambda service: list(simulation.members.values()),
                random.Random(index),
            )
        )
    faults = asyncio.create_task(inject_faults(simulation))
    tasks = []
    loop = asyncio.get_running_loop()
    while loop.time() < DURATION_S:
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        idempotent = rng.random() < 0.3
        call_id = f"{'r' if idempotent else 'b'}{len(tasks)}"
        dispatcher = rng.choice(dispatchers)
        tasks.append(
            asyncio.create_task(make_call(simulation, dispatcher, call_id, idempotent))
        )
    faults.cancel()
    await asyncio.gather(*tasks)
    for name in simulation.servers:
        simulation.network.thaw(name)
    # Every attempt ends within this time.
    await asyncio.sleep(5.0)
    assert all(len(d.attempts) == 0 for d in dispatchers), f"seed {seed}"
    return simulation


@pytest.mark.parametrize("seed", range(100, 104))
def test_call_outcomes_match_runs_under_faults(seed):
    simulation = run_paused(simulate(seed))
    counts = collections.Counter(type(x).__name__ for x in simulation.outcomes.values())
    assert min(counts[x] for x in ("Answered", "NotRun", "Unknown")) > 20, counts
    for call_id, outcome in simulation.outcomes.items():
        context = f"seed {seed}, {call_id}: {outcome}"
        if call_id.startswith("b"):
            assert simulation.count_runs(call_id) <= 1, context
            assert not isinstance(outcome, Failed), context
        if isinstance(outcome, NotRun):
            assert simulation.count_runs(call_id) == 0, context
        if isinstance(outcome, Answered):
            assert outcome.body == call_id.encode(), context
            assert simulation.count_runs(call_id) >= 1, context
