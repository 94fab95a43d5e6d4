"""State machine of key revocation over the real quorum, with faults of all kinds."""

import asyncio
import math

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tests.confirmation_cluster import ConfirmationCluster

from sapphireway_coordination import Confirmation, ConfirmationSource
from sapphireway_coordination.settings import _confirmation_source
from sapphireway_transport.memory import PausedLoop, run_paused

HOSTS = st.sampled_from(["c0", "c1", "c2"])
NODES = st.sampled_from(["n0", "n1"])
PAUSES_S = st.sampled_from([0.1, 0.6, 1.5, 4.0, 4.6, 5.5])
SUSPENSIONS_S = st.sampled_from([0.5, 3.0, 6.0])
EXAMPLES = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# A failing example is not shrunk, as any one will do.
BROKEN_EXAMPLES = settings(EXAMPLES, max_examples=200, phases=[Phase.generate])


class RevocationMachine(RuleBasedStateMachine):
    """Publishes tables that remove keys, and sends requests with removed keys."""

    def __init__(self):
        super().__init__()
        self.loop = PausedLoop()
        asyncio.set_event_loop(self.loop)
        self.system = ConfirmationCluster()
        self.background = []
        self.step(self.system.start())

    def step(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def call(self, function, *args):
        function(*args)

    def teardown(self):
        self.step(self.stop())
        self.loop.close()

    async def stop(self):
        for task in self.background:
            task.cancel()
        await self.system.stop()
        for address in self.system.cluster.addresses:
            self.system.kill_host(address)
        await asyncio.sleep(0.01)

    @initialize()
    def serve_at_first(self):
        self.step(self.system.send("n0"))

    @rule()
    def publish(self):
        self.step(self.system.publish(timeout_s=1.5))

    @rule(node=NODES)
    def send(self, node):
        self.step(self.system.send(node))

    @rule(node=NODES, pause_s=PAUSES_S)
    def send_during_a_pause(self, node, pause_s):
        self.background.append(self.loop.create_task(self.system.send(node)))
        self.step(asyncio.sleep(pause_s))

    @rule(pause_s=PAUSES_S)
    def pause(self, pause_s):
        self.step(asyncio.sleep(pause_s))

    @rule(pause_s=PAUSES_S)
    def freeze_everything(self, pause_s):
        self.loop.advance(pause_s)

    @rule(node=NODES, pause_s=SUSPENSIONS_S)
    def suspend_node(self, node, pause_s):
        # Its monotonic clock stands still meanwhile.
        self.system.network.freeze(node)
        self.step(asyncio.sleep(pause_s))
        self.system.nodes[node].suspended_s += pause_s
        self.step(self.call(self.system.network.thaw, node))

    @rule(node=NODES)
    def cut_off_node(self, node):
        self.system.cut_off(node)

    @rule(node=NODES, host=HOSTS, both=st.booleans())
    def cut_link_of_node(self, node, host, both):
        self.system.cut(host, node, both=both)

    @rule(host=HOSTS, other=HOSTS, both=st.booleans())
    def cut_link_of_host(self, host, other, both):
        self.system.cut(host, other, both=both)

    @rule(host=HOSTS)
    def isolate_host_from_hosts(self, host):
        for other in self.system.cluster.addresses:
            self.system.cut(host, other)

    @rule()
    def heal_links(self):
        self.system.network.heal_all()
        self.system.network.drop_rate = 0.0

    @rule(address=st.one_of(HOSTS, NODES))
    def freeze(self, address):
        self.system.network.freeze(address)

    @rule(address=st.one_of(HOSTS, NODES))
    def thaw(self, address):
        self.step(self.call(self.system.network.thaw, address))

    @rule(host=HOSTS)
    def kill_host(self, host):
        self.step(self.call(self.system.kill_host, host))

    @rule(host=HOSTS)
    def start_host(self, host):
        self.step(self.system.start_host(host))

    @rule(jitter_s=st.sampled_from([0.0, 0.05, 2.0]), drops=st.booleans())
    def disturb_links(self, jitter_s, drops):
        network = self.system.network
        network.jitter_s = jitter_s
        network.drop_rate = 0.2 if drops else 0.0
        network.duplicate_rate = 0.2 if drops else 0.0

    @invariant()
    def removed_keys_are_refused(self):
        assert self.system.violations == []


RevocationMachine.TestCase.settings = EXAMPLES
test_revocation_machine = RevocationMachine.TestCase


def skip_check(monkeypatch):
    async def confirm(self, deadline_s, recent=False):
        return None

    monkeypatch.setattr(Confirmation, "confirm", confirm)


def ignore_version(monkeypatch):
    record = Confirmation._record

    def record_without_version(self, proof):
        record(self, type(proof)(0, proof.since))

    monkeypatch.setattr(Confirmation, "_record", record_without_version)


def count_age_from_the_answer(monkeypatch):
    record = Confirmation._record

    def record_as_new(self, proof):
        record(self, type(proof)(proof.version, self._read_instant()))

    monkeypatch.setattr(Confirmation, "_record", record_as_new)


def share_proofs_without_age(monkeypatch):
    monkeypatch.setattr(_confirmation_source, "SHARED_AGE_MAX_S", math.inf)
    monkeypatch.setattr(ConfirmationSource, "_compute_age", lambda self: 0.0)


def use_the_monotonic_clock_alone(monkeypatch):
    init = Confirmation.__init__

    def init_without_boot_time(self, peers, hosts, version, bound_s, rng, read, *rest):
        def read_monotonic():
            return (read()[0],) * 2

        init(self, peers, hosts, version, bound_s, rng, read_monotonic, *rest)

    monkeypatch.setattr(Confirmation, "__init__", init_without_boot_time)


def answer_without_the_quorum(monkeypatch):
    async def prove(self):
        return _confirmation_source.Proof(self._get_version(), self._read_instant())

    monkeypatch.setattr(ConfirmationSource, "_prove", prove)


@pytest.mark.parametrize(
    "break_check", [skip_check, ignore_version, share_proofs_without_age]
)
def test_machine_detects_broken_variants(break_check, monkeypatch):
    break_check(monkeypatch)
    with pytest.raises(AssertionError, match="accepted key"):
        run_state_machine_as_test(RevocationMachine, settings=BROKEN_EXAMPLES)


async def receive_an_answer_late(system):
    """The answer to the node's question is held back for a second."""
    system.network.freeze("n0")
    first = asyncio.create_task(system.send("n0"))
    await asyncio.sleep(0.05)
    system.cut_off("n0")
    assert await system.publish()
    await asyncio.sleep(0.95)
    system.network.heal_all()
    system.network.thaw("n0")
    system.cut_off("n0")
    await asyncio.sleep(4.4)
    await system.send("n0")
    await first


async def suspend_a_node(system):
    """The monotonic clock of the node stands still after it got a proof."""
    assert await system.send("n0") is None
    system.cut_off("n0")
    assert await system.publish()
    await asyncio.sleep(6.0)
    system.nodes["n0"].suspended_s = 6.0
    await system.send("n0")


async def ask_an_isolated_leader(system):
    """The node reaches only the former leader, which no other host reaches."""
    leader = system.cluster.leader()
    for other in system.cluster.addresses:
        if other != leader:
            system.cut(leader, other)
            system.cut("n0", other)
    system.cut(leader, "client0")
    assert await system.publish(timeout_s=10.0)
    for _ in range(14):
        await asyncio.sleep(0.5)
        await system.send("n0")


@pytest.mark.parametrize(
    ("script", "break_check"),
    [
        (receive_an_answer_late, count_age_from_the_answer),
        (suspend_a_node, use_the_monotonic_clock_alone),
        (ask_an_isolated_leader, answer_without_the_quorum),
    ],
)
@pytest.mark.parametrize("broken", [False, True])
def test_removed_key_is_refused(script, break_check, broken, monkeypatch):
    # These take more steps in a row than the machine finds in a short run.
    if broken:
        break_check(monkeypatch)

    async def run():
        system = ConfirmationCluster()
        await system.start()
        await script(system)
        await system.stop()
        return system.violations

    assert bool(run_paused(run())) == broken
