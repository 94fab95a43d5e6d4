import asyncio
import time

import pytest
import tornado.testing
import tornado.web
from tests.flood import Watch, run_flood

from sapphireway._bounded_server import COPIES, make_bounded_server
from sapphireway_transport import MemoryBudget

BODY_MAX_BYTES = 2**20
TIME_S = 2.0
ANSWER_MAX_S = 1.0  # operators go on to another node after this time
POST = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
ORDERS = {
    "chunks of 1 byte": (POST, b"1\r\nx\r\n"),
    "chunks of 2 bytes": (POST, b"2\r\nxx\r\n"),
    "pipelined requests": (b"", b"GET / HTTP/1.1\r\n\r\n"),
    "headers": (b"GET / HTTP/1.1\r\n", b"A:\r\n"),
    "chunk extensions": (POST, b"1;a=b\r\nx\r\n"),
    "trailers": (POST + b"0\r\n", b"A:\r\n"),
}


class SizeHandler(tornado.web.RequestHandler):
    """Answers with the size of the body."""

    async def post(self):
        await asyncio.sleep(0.05)
        self.finish(str(len(self.request.body)))

    get = post


def open_server(budget):
    application = tornado.web.Application(
        [("/", SizeHandler)], log_function=lambda handler: None
    )
    server = make_bounded_server(application, BODY_MAX_BYTES, budget)
    socket, port = tornado.testing.bind_unused_port()
    server.add_sockets([socket])
    return server, port


async def post(port, size, chunked=False):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size)
        writer.write(POST + body)
    else:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
        writer.write(head + b"x" * size)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


@pytest.mark.parametrize("chunked", [False, True])
def test_orders_together_stay_within_the_budget(chunked):
    size = 500_000

    async def main():
        budget = MemoryBudget(2 * COPIES * size + size)
        server, port = open_server(budget)
        statuses = await asyncio.gather(*(post(port, size, chunked) for _ in range(8)))
        alone = await post(port, size, chunked)
        await asyncio.sleep(0.1)
        server.stop()
        return statuses, alone, budget.used_bytes

    statuses, alone, left = asyncio.run(main())
    assert set(statuses) == {200, 503} and statuses.count(200) <= 2
    assert (alone, left) == (200, 0)


@pytest.mark.parametrize("end", ["broken off", "malformed", "refused", "answered"])
def test_nothing_is_kept_of_an_order_that_has_ended(end):
    """Each order that was broken off left an entry for good."""

    async def main():
        budget = MemoryBudget(COPIES * 0x2000)
        server, port = open_server(budget)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
        async with asyncio.timeout(5):
            while not budget.used_bytes:
                await asyncio.sleep(0.01)
            if end == "malformed":
                writer.write(b"no size\r\n")
            elif end == "refused":
                writer.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")
            elif end == "answered":
                writer.write(b"0\r\n\r\n")
            if end != "broken off":
                await reader.readline()
            writer.close()
            while budget.used_bytes or server.request_callback._requests:
                await asyncio.sleep(0.01)
        server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("name", ORDERS)
def test_other_orders_are_answered_beside_one_in_small_pieces(name, count):
    async def main():
        server, port = open_server(MemoryBudget(10 * BODY_MAX_BYTES))
        watch = Watch()
        watching = asyncio.create_task(watch.run())
        longest_s = 0.0
        with run_flood("client", port, count, *ORDERS[name]):
            end_s = time.monotonic() + TIME_S
            while time.monotonic() < end_s:
                began_s = time.monotonic()
                assert await post(port, 100) == 200
                longest_s = max(longest_s, time.monotonic() - began_s)
        watching.cancel()
        server.stop()
        watch.check()
        assert longest_s < ANSWER_MAX_S

    asyncio.run(main())
