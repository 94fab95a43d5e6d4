"""Plays an overload of one server: what waits, how long, and who is answered.

Urgent requests alone need four fifths of the server, and browsing as much again. So
most of the browsing can't be served, and is overtaken after it was queued.
"""

import asyncio
import math
import random
import statistics

import pytest

from sapphireway_coordination.gate._admission import (
    WAIT_SHARE_MAX,
    AdmissionQueue,
    Waiter,
)
from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._capacity import RunningRequest, ServerCapacity
from sapphireway_coordination.gate._overtaking import StartedWork
from sapphireway_protocol import NotRunReason
from sapphireway_transport import Responded
from sapphireway_transport.memory import run_paused

SLOTS = 3
WORK_S = 0.2
TARGET_S = 0.8
DEADLINE_S = 3.0
URGENT, BROWSING = 99, 98
CALLS_PER_S = {URGENT: 12.0, BROWSING: 12.0}  # the server runs 15 per second
DURATION_S = 60.0
HELD_SHARE_MAX = 1 / 8  # of the target; a refusal after it comes late for its caller


class OverloadedServer:
    """A server with the admission logic of its gate."""

    def __init__(self, *, refuses_hopeless):
        self.loop = asyncio.get_running_loop()
        announcement = Announcement(
            "s", "x", "http://127.0.0.1:1", SLOTS, 100, "1", 0, cold_s=0.0
        )
        self.capacity = ServerCapacity(
            announcement, SLOTS, self.loop.time, lambda event: None, self.dispatch
        )
        self.queue = AdmissionQueue(self.loop.time)
        self.refuses_hopeless = refuses_hopeless
        self.held_s = []
        self.started_work = StartedWork(self.loop.time)
        self.answered_in_time = {URGENT: 0, BROWSING: 0}

    async def run(self, attempt, weight):
        arrived_s = self.loop.time()
        if not await self.admit(attempt, weight, arrived_s):
            self.held_s.append(self.loop.time() - arrived_s)
            return
        await asyncio.sleep(WORK_S)
        self.capacity.end(attempt, Responded(200, (), b""))
        in_time = self.loop.time() <= arrived_s + TARGET_S
        self.answered_in_time[weight] += in_time

    async def admit(self, attempt, weight, arrived_s):
        if self.capacity.has_room() and not self.queue:
            self.start(attempt, weight)
            return True
        deadline_s = arrived_s + DEADLINE_S
        waiter = Waiter(
            attempt,
            weight,
            deadline_s,
            deadline_s,
            WORK_S,
            self.loop.create_future(),
            arrived_s + TARGET_S,
            arrived_s,
        )
        wait_s = self.estimate_wait(waiter, *self.queue.sum_ahead(waiter))
        if self.queue.push(waiter, 64, wait_s) is not None:
            return False
        self.dispatch()
        timer = self.loop.call_at(
            waiter.start_by_s, self.queue.refuse, waiter, NotRunReason.DEADLINE
        )
        refusal = await waiter.decision
        timer.cancel()
        return refusal is None

    def dispatch(self):
        while self.capacity.has_room():
            waiter = self.queue.pop()
            if waiter is None:
                return
            self.start(waiter.attempt, waiter.weight, waiter.target_s)
            waiter.decide(None)
        if self.refuses_hopeless:
            self.queue.refuse_hopeless(self.estimate_wait)

    def estimate_wait(self, waiter, ahead, ahead_s):
        wait_s = self.capacity.estimate_wait_s(ahead, ahead_s)
        if not self.refuses_hopeless:
            return wait_s
        above = None if waiter.is_late(self.loop.time()) else waiter.weight
        return self.started_work.stretch_wait(wait_s, above, SLOTS)

    def start(self, attempt, weight, target_s=math.inf):
        if self.loop.time() + WORK_S <= target_s:
            self.started_work.record(weight, WORK_S)
        running = RunningRequest(attempt, "k", "", self.loop.time(), False, False)
        self.capacity.start(running)


def play(seed, *, refuses_hopeless):
    async def main():
        rng = random.Random(seed)
        server = OverloadedServer(refuses_hopeless=refuses_hopeless)
        tasks = []

        async def send_all(weight):
            number = 0
            while server.loop.time() < DURATION_S:
                await asyncio.sleep(rng.expovariate(CALLS_PER_S[weight]))
                number += 1
                run = server.run(f"{weight}-{number}", weight)
                tasks.append(asyncio.create_task(run))

        await asyncio.gather(*(send_all(weight) for weight in CALLS_PER_S))
        await asyncio.gather(*tasks)
        return server

    return run_paused(main())


@pytest.mark.parametrize("seed", range(1, 5))
def test_overtaken_requests_are_refused_early(seed):
    early = play(seed, refuses_hopeless=True)
    late = play(seed, refuses_hopeless=False)
    assert statistics.median(early.held_s) <= HELD_SHARE_MAX * TARGET_S
    assert statistics.mean(early.held_s) < 0.25 * statistics.mean(late.held_s)


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_request_is_held_after_it_can_no_longer_be_in_time(seed):
    """Callers who were told after half of their time could not use the rest."""
    server = play(seed, refuses_hopeless=True)
    held_s = max(TARGET_S - WORK_S, WAIT_SHARE_MAX * DEADLINE_S)
    assert max(server.held_s) <= held_s + 1e-6


@pytest.mark.parametrize("seed", range(1, 5))
def test_early_refusals_cost_no_answer_in_time(seed):
    early = play(seed, refuses_hopeless=True).answered_in_time
    late = play(seed, refuses_hopeless=False).answered_in_time
    assert sum(early.values()) >= 0.97 * sum(late.values())
    assert early[URGENT] >= 0.97 * late[URGENT]
