import asyncio
import time

import pytest

from sapphireway_transport import BootTimeLoop


@pytest.fixture
def suspend(monkeypatch):
    """Let the clock that counts suspensions advance while the monotonic one stands."""
    clock_gettime, suspended_s = time.clock_gettime, [0.0]

    def read_clock(clock):
        counted = suspended_s[0] if clock == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock) + counted

    monkeypatch.setattr(time, "clock_gettime", read_clock)

    def suspend(duration_s):
        suspended_s[0] += duration_s

    return suspend


def test_deadline_passes_during_a_suspension(suspend):
    """A request was started after its caller's time, at the end of a suspension."""

    async def main():
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 60.0
        waiting = asyncio.create_task(asyncio.sleep(60.0))
        await asyncio.sleep(0.01)
        suspend(60.0)
        await asyncio.wait_for(waiting, 5.0)
        return loop.time() - deadline_s

    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        assert 0.0 <= runner.run(main()) < 5.0


def test_timer_waits_for_its_time_without_a_suspension():
    async def main():
        loop = asyncio.get_running_loop()
        started_s, monotonic_s = loop.time(), time.monotonic()
        await asyncio.sleep(0.05)
        return loop.time() - started_s, time.monotonic() - monotonic_s

    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        waited_s, monotonic_s = runner.run(main())
    assert 0.049 <= waited_s == pytest.approx(monotonic_s, abs=0.01)
