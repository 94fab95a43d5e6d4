"""Fixtures shared by the tests of all packages."""

import asyncio
import threading
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer

from sapphireway._operator import make_operator_application
from sapphireway._rollout_api import make_rollout_routes
from sapphireway._rollout_orders import RolloutOrders
from sapphireway._stalls import StallWatch
from sapphireway.memory import MemoryControlClient, MemoryOperatorBackend

TOKEN = "0123456789abcdef-token"


async def serve(state, ready, running):
    """Serve until `running.stop` is set."""
    backend = state.make_backend()
    running.watch = StallWatch(lambda: (state.time_s, state.time_s))
    application = make_operator_application(backend, running.watch)
    orders = RolloutOrders(running.control, lambda: 50.0)
    application.add_handlers(".*", make_rollout_routes(backend, orders, running.watch))
    server = HTTPServer(application, max_body_size=1_000_000)
    server.listen(0, "127.0.0.1")
    running.port = next(iter(server._sockets.values())).getsockname()[1]
    running.loop = asyncio.get_running_loop()
    running.stop = asyncio.Event()
    ready.set()
    await running.stop.wait()
    server.stop()
    await server.close_all_connections()


@pytest.fixture
def operator_node():
    """An operator API on a real port, backed by in-memory state."""
    state = MemoryOperatorBackend(TOKEN)
    ready = threading.Event()
    running = SimpleNamespace(control=MemoryControlClient(["ledger"]))
    thread = threading.Thread(
        target=asyncio.run, args=(serve(state, ready, running),), daemon=True
    )
    thread.start()
    assert ready.wait(10)
    yield SimpleNamespace(
        state=state,
        control=running.control,
        address=f"127.0.0.1:{running.port}",
        token=TOKEN,
    )
    running.loop.call_soon_threadsafe(running.stop.set)
    thread.join(10)
