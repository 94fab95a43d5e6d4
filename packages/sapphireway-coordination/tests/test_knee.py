"""Plays loads near and above what a server bears against the estimate of its knee."""

import asyncio
import itertools
import math
import random
import statistics

import pytest

from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._capacity import RunningRequest, ServerCapacity
from sapphireway_coordination.gate._knee import KneeEstimator, list_levels
from sapphireway_coordination.gate._load_clock import LoadClock
from sapphireway_transport import Responded
from sapphireway_transport.memory import run_paused

STEP_S = 0.01
LEARNING_S = 2.0  # in which the bound must be found
DURATION_S = 14.0
WORK_S = 0.22
GOODPUT_GOAL = 0.95  # of the best fixed bound in hindsight
SEEDS = range(16)


def step(slots, share, times):
    return lambda running: times if running > share * slots else 1.0


def ramp(slots, share, times):
    def slow_down(running):
        excess = max(0.0, running / slots - share) / (1.0 - share)
        return 1.0 + excess * (times - 1.0)

    return slow_down


def keep_speed(running):
    return 1.0


class Server:
    """Runs requests of one kind, on a host that is slow a quarter of the time."""

    def __init__(
        self, seed, slots, slow_down, bound, calls_wait_s=0.0, *, reports_slowness=True
    ):
        self.rng = random.Random(seed)
        self.slots = slots
        self.slow_down = slow_down
        self.fixed_bound = bound
        self.calls_wait_s = calls_wait_s
        self.reports_slowness = reports_slowness
        self.knee = KneeEstimator(slots)
        self.knee.slowness_reported = reports_slowness
        self.clock = LoadClock(0.0)
        self.running = []
        self.now_s = 0.0
        self.finished = 0

    def get_bound(self):
        self.knee.update_allowed(self.now_s, len(self.running))
        return self.fixed_bound or self.knee.allowed

    def start(self):
        work_s = self.rng.lognormvariate(math.log(WORK_S), 0.3)
        wait_s = self.calls_wait_s if self.rng.random() < 0.7 else 0.0
        self.running.append([work_s, wait_s, self.clock.read()])

    def advance(self, slowness):
        factor = slowness * self.slow_down(len(self.running))
        for run in self.running:
            if run[1] > 0.0:
                run[1] -= STEP_S
            else:
                run[0] -= STEP_S / factor
        self.now_s += STEP_S
        reported = slowness if self.reports_slowness else 0.0
        self.clock.advance(self.now_s, len(self.running), reported)
        for run in [run for run in self.running if run[0] <= 0.0]:
            self.running.remove(run)
            self._record(run[2])

    def _record(self, start):
        end = self.clock.read()
        in_flight = (end.load_s - start.load_s) / (end.at_s - start.at_s)
        work_s = end.work_s - start.work_s
        self.knee.record(self.now_s, "kind", work_s, in_flight)
        self.finished += self.now_s > LEARNING_S


def play(seed, slots, slow_down, rate_per_s, bound=None, calls_wait_s=0.0, **options):
    """Return how many requests were finished after the time for learning."""
    server = Server(seed, slots, slow_down, bound, calls_wait_s, **options)
    rng = random.Random(seed)
    waiting, slowness = 0, 1.0
    for tick in range(round(DURATION_S / STEP_S)):
        if tick % 30 == 0:
            slowness = 4.0 if rng.random() < 0.25 else 1.0
        waiting += rng.random() < rate_per_s * STEP_S
        while waiting and len(server.running) < server.get_bound():
            waiting -= 1
            server.start()
        waiting = min(waiting, slots)
        server.advance(slowness)
    return server.finished


def compute_rate(slots, slow_down, times):
    """Return `times` the load that the server bears at its best."""
    best = max(n / slow_down(n) for n in range(1, slots + 1))
    return times * best / (WORK_S * 1.05 * (1.0 + 0.25 * 3.0))


KNEES = {
    "none": lambda slots: keep_speed,
    "step at 0.8": lambda slots: step(slots, 0.8, 1.7),
    "steep step at 0.8": lambda slots: step(slots, 0.8, 2.5),
    "ramp from 0.7": lambda slots: ramp(slots, 0.7, 2.0),
}


@pytest.mark.parametrize("load", [1.0, 1.3, 2.0])
@pytest.mark.parametrize("slots", [3, 6, 12])
@pytest.mark.parametrize("knee", KNEES)
def test_learnt_bound_finishes_nearly_as_much_as_the_best_fixed_one(knee, slots, load):
    slow_down = KNEES[knee](slots)
    rate_per_s = compute_rate(slots, slow_down, load)
    learnt = sum(play(seed, slots, slow_down, rate_per_s) for seed in SEEDS)
    best = max(
        sum(play(seed, slots, slow_down, rate_per_s, bound) for seed in SEEDS)
        for bound in list_levels(slots)
    )
    assert learnt >= GOODPUT_GOAL * best


@pytest.mark.parametrize("calls_wait_s", [0.1, 0.3])
@pytest.mark.parametrize("slots", [3, 6])
def test_requests_that_wait_for_calls_are_given_the_slots_they_hold(
    slots, calls_wait_s
):
    """Only their work slows down above a knee; a bound made for it finished less."""
    slow_down = step(slots, 0.8, 1.7)
    rate_per_s = compute_rate(slots, slow_down, 1.3)
    args = (slots, slow_down, rate_per_s)
    learnt = sum(play(seed, *args, None, calls_wait_s) for seed in SEEDS)
    best = max(
        sum(play(seed, *args, bound, calls_wait_s) for seed in SEEDS)
        for bound in list_levels(slots)
    )
    assert learnt >= GOODPUT_GOAL * best


@pytest.mark.parametrize("reported", [True, False])
def test_waiting_for_nested_calls_is_not_taken_for_a_knee(reported):
    """Calls wait longer under load, which says nothing of the caller's own slots."""
    knee = KneeEstimator(6)
    knee.slowness_reported = reported
    rng = random.Random(1)
    for _ in range(40):
        wait_s = 0.2 if rng.random() < 0.7 else 0.0
        knee.record(1.0, "kind", 0.2 + wait_s, 4.0)
    for _ in range(40):
        wait_s = 0.6 if rng.random() < 0.7 else 0.0
        knee.record(2.0, "kind", 0.2 + wait_s, 6.0)
    assert knee.bound == 6


@pytest.mark.parametrize("reported", [True, False])
def test_requests_that_end_at_a_time_limit_count_as_slow(reported):
    """A server that answers nothing in time at all slots must not be kept there."""
    knee = KneeEstimator(6)
    knee.slowness_reported = reported
    for _ in range(20):
        knee.record(1.0, "kind", 0.2, 4.0)
    for _ in range(20):
        knee.record(1.0, "kind", 0.2, 6.0, finished=False)
    assert knee.bound == 4


async def run_request(capacity, attempt, rng, slowdown):
    now_s = asyncio.get_running_loop().time()
    capacity.start(RunningRequest(attempt, "kind", "", now_s, False, False))
    over = capacity.in_flight > 4
    await asyncio.sleep(rng.uniform(0.1, 0.2) * (slowdown if over else 1.0))
    capacity.end(attempt, Responded(200, (), b""))


async def keep_busy(reported_slowness, slowdown):
    """Return the bound, and the median of the requests in flight, at six slots."""
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    announcement = Announcement("s", "x", "http://s", 6, 100, "1", 0, cold_s=0.0)
    capacity = ServerCapacity(
        announcement, 6, loop.time, lambda event: None, lambda: None
    )
    if reported_slowness:
        capacity.update_slowness(reported_slowness)
    tasks = set()
    numbers = itertools.count()
    in_flight = []
    while loop.time() < 60.0:
        while capacity.has_room():
            request = run_request(capacity, f"a{next(numbers)}", rng, slowdown)
            tasks.add(asyncio.create_task(request))
            await asyncio.sleep(0)
        in_flight.append(capacity.in_flight)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    capacity.close()
    return capacity._knee.bound, statistics.median(in_flight)


@pytest.mark.parametrize("slowdown, bound", [(2.0, 4), (1.0, 6)])
def test_server_kept_busy_is_bounded_without_exceeding_its_limit(slowdown, bound):
    """A trial that began between the check for room and the start broke the limit."""
    assert run_paused(keep_busy(1.0, slowdown)) == (bound, bound)


@pytest.mark.parametrize("slowdown, bound", [(2.0, 4), (1.0, 6)])
def test_server_that_reports_no_load_is_bounded_by_its_knee(slowdown, bound):
    assert run_paused(keep_busy(None, slowdown)) == (bound, bound)


def test_server_that_reports_no_load_is_not_bounded_by_its_knee_while_cold():
    """The rate of starts bounds it then, and the knee bounds it from the next check."""

    async def main():
        loop = asyncio.get_running_loop()
        announcement = Announcement(
            "s", "x", "http://s", 6, 100, "1", 0, cold_s=1.0, cold_rate_per_s=17.0
        )
        capacity = ServerCapacity(
            announcement, 6, loop.time, lambda event: None, lambda: None
        )
        while_cold = capacity.limit
        await asyncio.sleep(1.5)
        unchecked = capacity.limit
        capacity.has_room()
        limits = while_cold, unchecked, capacity.limit
        capacity.close()
        return limits

    assert run_paused(main()) == (6, 6, 4)


@pytest.mark.parametrize("load", [1.3, 2.0])
@pytest.mark.parametrize("slots", [3, 6, 12])
@pytest.mark.parametrize("knee", KNEES)
def test_bound_without_load_reports_finishes_no_less_than_all_slots(knee, slots, load):
    """The host is slow at times, which nothing tells."""
    slow_down = KNEES[knee](slots)
    args = (slots, slow_down, compute_rate(slots, slow_down, load))
    learnt, unbounded = (
        sum(play(seed, *args, bound, reports_slowness=False) for seed in SEEDS)
        for bound in (None, slots)
    )
    goal = GOODPUT_GOAL if knee == "none" else 1.0
    assert learnt >= goal * unbounded


@pytest.mark.parametrize(
    "slots, levels",
    [(1, [1]), (2, [1, 2]), (3, [2, 3]), (6, [4, 5, 6]), (40, [30, 33, 35, 38, 40])],
)
def test_levels_end_with_all_slots(slots, levels):
    assert list_levels(slots) == levels
