"""An event loop whose clock stands still while there is work and jumps when idle."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the clock instead of waiting."""

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
    """An event loop for tests: time passes only when every task waits for it."""

    def __init__(self):
        self._paused_selector = _JumpingSelector()
        super().__init__(self._paused_selector)
        self._clock_resolution = 1e-9

    def time(self):
        """Return the paused clock's reading in seconds."""
        return self._paused_selector.now_s

    def advance(self, duration_s):
        """Let time pass in the middle of a callback, as in a process that froze."""
        self._paused_selector.now_s += duration_s


def run_paused(coroutine):
    """Run `coroutine` to its end on a new `PausedLoop` and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(coroutine)
