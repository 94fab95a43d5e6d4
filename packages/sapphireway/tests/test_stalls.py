import asyncio

import pytest

from sapphireway._stalls import (
    CATCH_UP_S,
    STALL_MIN_S,
    ProcessStalled,
    StallWatch,
)
from sapphireway_transport.memory import run_paused


class Clocks:
    """The paused loop's clock and one that also counts suspensions."""

    def __init__(self):
        self.suspended_s = 0.0

    def read_instant(self):
        now_s = asyncio.get_running_loop().time()
        return now_s, now_s + self.suspended_s

    def stand_still(self, duration_s, suspended):
        if suspended:
            self.suspended_s += duration_s
        else:
            asyncio.get_running_loop().advance(duration_s)


def run_watch(duration_s, suspended, wait_s):
    """Stall, then wait; return the age of what is read then, and the events."""

    async def main():
        clocks, events = Clocks(), []
        watch = StallWatch(clocks.read_instant, events.append)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(3.0)
        clocks.stand_still(duration_s, suspended)
        await asyncio.sleep(wait_s)
        age_s = watch.compute_read_delay()
        task.cancel()
        return age_s, events

    return run_paused(main())


@pytest.mark.parametrize("suspended", [False, True])
def test_what_is_read_after_a_stall_can_be_as_old_as_it(suspended):
    age_s, events = run_watch(4.0, suspended, 0.0)
    assert 4.0 <= age_s < 4.0 + STALL_MIN_S
    ((stall_s, suspended_s),) = [(e.stall_s, e.suspended_s) for e in events]
    assert 4.0 <= stall_s < 4.0 + STALL_MIN_S
    assert suspended_s == pytest.approx(4.0 if suspended else 0.0)


@pytest.mark.parametrize("suspended", [False, True])
def test_age_counts_anew_once_the_process_has_caught_up(suspended):
    age_s, events = run_watch(4.0, suspended, CATCH_UP_S + 0.1)
    assert age_s == 0.0
    assert [type(event) for event in events] == [ProcessStalled]


def test_late_turn_of_the_loop_is_no_stall():
    assert run_watch(STALL_MIN_S / 2, False, 0.0) == (0.0, [])
