"""Seeded runs of entry nodes against servers' nodes with faults at the links."""

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
class Run:
    """Everything of one run; `outcomes` is None for a call whose caller left."""

    seed: int
    rng: random.Random
    network: MemoryNetwork
    servers: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    ran: list = field(default_factory=list)
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
        self.ran.append(server.runs)
        # The directory hears of a restart now, later or not before the next one.
        delay_s = self.rng.choice([0.0, 0.05, 0.5, 5.0])
        asyncio.get_running_loop().call_later(delay_s, self._publish, name, incarnation)
        if name not in self.members:
            self._publish(name, incarnation)

    def _publish(self, name, incarnation):
        self.members[name] = Member(name, "s", name, name, "r", incarnation, "1", SLOTS)

    def count_runs(self, call_id):
        return sum(runs[call_id] for runs in self.ran)


async def inject_faults(run):
    names = [f"n{i}" for i in range(SERVERS)]
    entries = [f"e{i}" for i in range(ENTRIES)]
    while True:
        await asyncio.sleep(run.rng.expovariate(8.0))
        name, entry = run.rng.choice(names), run.rng.choice(entries)
        fault = run.rng.choice(["lose", "delay", "cut", "heal", "freeze", "restart"])
        if fault == "lose":
            run.network.drop_rate = run.rng.choice([0.0, 0.0, 0.05, 0.3])
            run.network.duplicate_rate = run.rng.choice([0.0, 0.1, 0.5])
        elif fault == "delay":
            run.network.jitter_s = run.rng.choice([0.0, 0.005, 0.1])
        elif fault == "cut":
            run.network.cut(*run.rng.sample([name, entry], 2))
        elif fault == "heal":
            run.network.heal_all()
        elif fault == "freeze":
            run.network.freeze(name)
            thaw_s = run.rng.choice([0.02, 0.2, 0.6])
            asyncio.get_running_loop().call_later(thaw_s, run.network.thaw, name)
        else:
            run.start_server(name)


async def place_call(run, dispatcher, call_id, idempotent):
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
    if run.rng.random() < 0.05:
        loop.call_later(run.rng.uniform(0.0, 0.1), task.cancel)
    await asyncio.wait([task])
    run.outcomes[call_id] = None if task.cancelled() else task.result()
    if not task.cancelled():
        late_s = loop.time() - call.deadline_s
        assert late_s < 1e-6, f"seed {run.seed}: {call_id} ended {late_s} s late"


async def conduct_run(seed):
    rng = random.Random(seed)
    run = Run(seed, rng, MemoryNetwork(random.Random(seed + 1)))
    for index in range(SERVERS):
        run.start_server(f"n{index}")
    dispatchers = []
    for index in range(ENTRIES):
        peers = Peers(run.network.open_endpoint(f"e{index}"), f"e{index}-1")
        peers.start()
        dispatchers.append(
            Dispatcher(
                peers, lambda service: list(run.members.values()), random.Random(index)
            )
        )
    faults = asyncio.create_task(inject_faults(run))
    tasks = []
    loop = asyncio.get_running_loop()
    while loop.time() < DURATION_S:
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        idempotent = rng.random() < 0.3
        call_id = f"{'r' if idempotent else 'b'}{len(tasks)}"
        dispatcher = rng.choice(dispatchers)
        tasks.append(
            asyncio.create_task(place_call(run, dispatcher, call_id, idempotent))
        )
    faults.cancel()
    await asyncio.gather(*tasks)
    for name in run.servers:
        run.network.thaw(name)
    # Whatever is still under way anywhere comes to its end.
    await asyncio.sleep(5.0)
    assert all(len(x.attempts) == 0 for x in dispatchers), f"seed {seed}"
    return run


@pytest.mark.parametrize("seed", range(100, 104))
def test_calls_keep_their_contract_under_faults(seed):
    run = run_paused(conduct_run(seed))
    kinds = collections.Counter(type(x).__name__ for x in run.outcomes.values())
    assert min(kinds[x] for x in ("Answered", "NotRun", "Unknown")) > 20, kinds
    for call_id, outcome in run.outcomes.items():
        where = f"seed {seed}, {call_id}: {outcome}"
        if call_id.startswith("b"):
            assert run.count_runs(call_id) <= 1, where
            assert not isinstance(outcome, Failed), where
        if isinstance(outcome, NotRun):
            assert run.count_runs(call_id) == 0, where
        if isinstance(outcome, Answered):
            assert outcome.body == call_id.encode(), where
            assert run.count_runs(call_id) >= 1, where
