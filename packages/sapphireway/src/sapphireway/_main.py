"""Start-up and shutdown of the node process."""

import asyncio
import gc
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sapphireway._dialects import Dialects
from sapphireway._exits import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_INVARIANT,
    EXIT_OK,
)
from sapphireway._logs import EventLog, configure_logs
from sapphireway._node import Node
from sapphireway_state import (
    Invalid,
    InvariantError,
    ProcessSettings,
    format_problem,
    load_process_settings,
)
from sapphireway_transport import BootTimeLoop, separate_large_blocks

GC_YOUNG_THRESHOLD = 20_000
GC_MIDDLE_THRESHOLD = 20
GC_OLD_THRESHOLD = 100


def run_process(file: Path) -> int:
    """Run a node with the settings in `file` until a signal stops it."""
    settings = load_process_settings(file)
    if isinstance(settings, Invalid):
        for problem in settings.problems:
            print(format_problem(problem), file=sys.stderr)
        return EXIT_INVALID
    configure_logs(settings.log_format, settings.log_level)
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(run_node(settings, EventLog()))


async def run_node(
    settings: ProcessSettings,
    log: EventLog,
    dialects: Dialects | None = None,
    on_started: Callable[[Node], None] = lambda node: None,
) -> int:
    """Run a node until a signal stops it and return the exit status.

    Parameters
    ----------
    settings : ProcessSettings
    log : EventLog
    dialects : Dialects
    on_started : callable
        Called with the node once it has started. If it raises an OSError, the start
        has failed.
    """
    separate_large_blocks()
    loop = asyncio.get_running_loop()
    signalled = loop.create_future()

    def begin_stop():
        if not signalled.done():
            signalled.set_result(node.find_earliest_signal_time())

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, begin_stop)
    loop.add_signal_handler(signal.SIGHUP, log.info, "reload_asked")
    loop.set_exception_handler(make_exception_handler(log))
    node = Node(settings, log, dialects)
    try:
        await node.start()
        on_started(node)
    except OSError as error:
        log.error("start_failed", detail=str(error))
        return EXIT_FAILED
    _tune_garbage_collector()
    drained = await node.stop(await signalled)
    return EXIT_OK if drained else EXIT_FAILED


def make_exception_handler(log: EventLog) -> Callable[[Any, dict[str, Any]], None]:
    """Return a handler that logs unhandled exceptions of tasks and callbacks.

    A violated invariant ends the process at once, as its state can't be trusted.
    """

    def handle(loop, context):
        error = context.get("exception")
        log.error("unhandled", message=context["message"], detail=repr(error))
        if isinstance(error, AssertionError | InvariantError):
            log.error("invariant_broken", detail=str(error))
            raise SystemExit(EXIT_INVARIANT)

    return handle


def _tune_garbage_collector():
    # A full collection that includes all imported modules would pause calls for
    # milliseconds.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_MIDDLE_THRESHOLD, GC_OLD_THRESHOLD)
    gc.enable()
