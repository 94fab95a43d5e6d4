"""Fixtures that the packages' tests share."""

import asyncio
import threading
from types import SimpleNamespace

import pytest
from tornado.httpserver import HTTPServer

from sapphireway._operator import make_operator_application
from sapphireway.memory import MemoryOperatorBackend

TOKEN = "0123456789abcdef-token"


async def serve(state, ready, started):
    """Serve until `started.stop` is set."""
    application = make_operator_application(state.make_backend())
    server = HTTPServer(application, max_body_size=1_000_000)
    server.listen(0, "127.0.0.1")
    started.port = next(iter(server._sockets.values())).getsockname()[1]
    started.loop = asyncio.get_running_loop()
    started.stop = asyncio.Event()
    ready.set()
    await started.stop.wait()
    server.stop()
    await server.close_all_connections()


@pytest.fixture
def operator_node():
    """An operator address on a real port with in-memory state behind it."""
    state = MemoryOperatorBackend(TOKEN)
    ready = threading.Event()
    started = SimpleNamespace()
    thread = threading.Thread(
        target=asyncio.run, args=(serve(state, ready, started),), daemon=True
    )
    thread.start()
    assert ready.wait(10)
    yield SimpleNamespace(state=state, address=f"127.0.0.1:{started.port}", token=TOKEN)
    started.loop.call_soon_threadsafe(started.stop.set)
    thread.join(10)
