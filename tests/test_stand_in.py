"""The stand-in server that the demonstration and the process tests use."""

import asyncio
import random

import tornado.httpserver
import tornado.web
from demo.server import StandIn, deregister, make_application

BODY_BYTES = 8 * 1024 * 1024  # more than the buffers of both sockets


def test_response_is_pending_until_it_is_written():
    """A stopping server exits when no response is pending; it must not cut one off."""

    async def run():
        stand_in = StandIn(6, random.Random(1))
        stand_in.behaviour.latency_ms = 1.0
        application = make_application(stand_in)
        server = tornado.httpserver.HTTPServer(application, max_body_size=2**30)
        server.listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Sapphireway-Request-Id: 1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        writer.write(head.encode() + bytes(BODY_BYTES))
        await writer.drain()
        await asyncio.sleep(0.5)
        pending = stand_in.answering
        response = await reader.read()
        writer.close()
        await asyncio.sleep(0.05)
        server.stop()
        return pending, len(response) > BODY_BYTES, stand_in.answering

    assert asyncio.run(run()) == (1, True, 0)


def test_deregistration_waits_until_the_node_has_no_request_in_flight():
    """A request that the node has started may still be on its way to the server."""
    counts = [2, 1, 0]

    class Handler(tornado.web.RequestHandler):
        def delete(self):
            self.finish({"in_flight": counts.pop(0)})

    async def run():
        node = tornado.web.Application([("/server/s1", Handler)])
        server = node.listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        await deregister(f"http://127.0.0.1:{port}", "s1")
        server.stop()

    asyncio.run(run())
    assert not counts


def test_deregistration_ends_when_the_node_has_ended():
    asyncio.run(deregister("http://127.0.0.1:1", "s1"))
