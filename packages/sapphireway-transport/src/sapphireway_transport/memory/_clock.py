"""An event loop with a simulated clock that advances only when the loop is idle."""

import asyncio
import selectors


class _AutoAdvanceSelector(selectors.SelectSelector):
    """A selector that advances the simulated clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Poll the descriptors; advance the clock by `timeout` if none is ready."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is set")
        self.now_s += timeout
        return ready


class PausedLoop(asyncio.SelectorEventLoop):
    """An event loop for tests: time advances only when every task waits for it."""

    def __init__(self):
        self._paused_selector = _AutoAdvanceSelector()
        super().__init__(self._paused_selector)
        self._clock_resolution = 1e-9

    def time(self):
        """Return the simulated time in seconds."""
        return self._paused_selector.now_s

    def advance(self, duration_s):
        """Advance the clock within a callback, as if the process had been frozen."""
        self._paused_selector.now_s += duration_s


def run_paused(coroutine):
    """Run a coroutine on a new `PausedLoop` and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)
