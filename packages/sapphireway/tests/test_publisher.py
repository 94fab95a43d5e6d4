import asyncio
import itertools
from functools import partial

import msgspec
import pytest

from sapphireway._operator_backend import Unavailable
from sapphireway._publisher import CONFLICTS_MAX, EditRefused, Publisher
from sapphireway.memory import MemoryControlClient
from sapphireway_coordination import Committed, ReadResult
from sapphireway_coordination import Unavailable as NoQuorum
from sapphireway_coordination.settings._control_client import ATTEMPT_TIMEOUT_S
from sapphireway_state import Accepted, Conflict, CurrentTree, Problem, Refused
from sapphireway_transport.memory import run_paused


def make_check(*results):
    """Return a check of an order that finds these, and then the last one again."""
    remaining = list(results)

    async def find_staleness(version):
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return find_staleness


class ScriptedClient:
    """Answers edits of the settings tree one after the other."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def read(self, query, timeout_s):
        return ReadResult(3, msgspec.msgpack.encode(CurrentTree(3, {})))

    async def propose(self, command, timeout_s):
        return Committed(4, msgspec.msgpack.encode(self.answers.pop(0)))


CONFLICT = Conflict(4, 3, [], 0)
REFUSED = Refused(3, [Problem("domains/x", "is no failure domain", "a known one")])


@pytest.mark.parametrize(
    ("answers", "result_type", "left"),
    [
        ([Accepted(4)], type(None), 0),
        ([CONFLICT, Accepted(5)], type(None), 0),
        ([CONFLICT] * CONFLICTS_MAX, Unavailable, 0),
        ([REFUSED, Accepted(4)], EditRefused, 1),
    ],
    ids=["accepted", "after-conflict", "conflicts", "refused"],
)
def test_change_of_a_domain_is_repeated_only_after_conflicts(
    answers, result_type, left
):
    client = ScriptedClient(*answers)
    publisher = Publisher(client, lambda: "edit-1")
    result = asyncio.run(publisher.set_out("bxl-a", True, make_check(None)))
    assert isinstance(result, result_type)
    assert len(client.answers) == left


class HeldClient(MemoryControlClient):
    """Delivers proposals only once `released` is set, as a frozen leader does."""

    def __init__(self):
        super().__init__(["ledger"])
        self.released = asyncio.Event()
        self.released.set()

    async def propose(self, command, timeout_s):
        await self.released.wait()
        return await super().propose(command, timeout_s)


def order_twice(overtaken, *later):
    """Return what is out after `overtaken` arrived behind `later`, and its result."""

    async def main():
        client = HeldClient()
        first, second = (
            Publisher(client, iter([f"{host}-{i}" for i in range(9)]).__next__)
            for host in "ab"
        )
        valid = make_check(None)
        assert await first.set_out("bxl-a", True, valid) is None
        client.released.clear()
        given_up = make_check(None, "the sender has left")
        held = asyncio.create_task(first.set_out("bxl-a", overtaken, given_up))
        await asyncio.sleep(1.0)
        frozen, client.released = client.released, asyncio.Event()
        client.released.set()
        for out in later:
            assert await second.set_out("bxl-a", out, valid) is None
        frozen.set()
        result = await held
        return client.machine.settings.tree["domains"]["bxl-a"]["out"], result

    return run_paused(main())


@pytest.mark.parametrize(
    "later", [(False, True), (True,)], ids=["reversed", "unchanged"]
)
def test_order_is_not_carried_out_after_later_acknowledged_ones(later):
    out, result = order_twice(False, *later)
    assert out is True
    assert isinstance(result, Unavailable)


class SilentLeaderClient(MemoryControlClient):
    """The first request of each kind goes to a host that doesn't answer."""

    def __init__(self):
        super().__init__(["ledger"])
        self.asked = set()

    async def wait_for_silent_host(self, kind, timeout_s):
        if kind in self.asked:
            return False
        self.asked.add(kind)
        await asyncio.sleep(min(ATTEMPT_TIMEOUT_S, timeout_s))
        return timeout_s <= ATTEMPT_TIMEOUT_S

    async def read(self, query, timeout_s):
        if await self.wait_for_silent_host("read", timeout_s):
            return NoQuorum("no control host answered")
        return await super().read(query, timeout_s)

    async def propose(self, command, timeout_s):
        if await self.wait_for_silent_host("propose", timeout_s):
            return NoQuorum("no control host answered", maybe_applied=True)
        return await super().propose(command, timeout_s)


def test_silent_control_host_does_not_take_the_time_of_an_evacuation():
    """Its operator waits for a second at each node."""

    async def main():
        publisher = Publisher(SilentLeaderClient(), lambda: "edit-1")
        assert await publisher.set_out("bxl-a", True, make_check(None)) is None
        assert asyncio.get_running_loop().time() < 1.0

    run_paused(main())


class SlowClient(MemoryControlClient):
    """Takes the time of a round trip, so that concurrent edits conflict."""

    async def read(self, query, timeout_s):
        await asyncio.sleep(0.02)
        return await super().read(query, timeout_s)

    async def propose(self, command, timeout_s):
        await asyncio.sleep(0.02)
        return await super().propose(command, timeout_s)


@pytest.mark.parametrize("domains", [["bxl-a"] * 8, [f"zone-{n}" for n in range(8)]])
def test_eight_orders_at_once_are_all_acknowledged(domains):
    async def main():
        client = SlowClient(["ledger"])
        ids = (f"edit-{n}" for n in itertools.count())
        orders = (
            Publisher(client, partial(next, ids)).set_out(
                domain, True, make_check(None)
            )
            for domain in domains
        )
        return await asyncio.gather(*orders)

    assert run_paused(main()) == [None] * 8
