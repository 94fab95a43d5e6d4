"""Input in many small pieces, of which each costs more than its bytes.

What is held is measured, and how long the event loop takes to come around, since other
clients of a node wait as long.
"""

import asyncio
import time

import pytest
from tests.flood import TURN_MAX_S, Watch, run_flood

from sapphireway_transport import (
    Broken,
    CurlServerClient,
    HttpAnswer,
    HttpLimits,
    HttpListener,
    Responded,
    ServerRequest,
)

TIME_S = 2.0
POST = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

UPLOADS = {
    "chunks of 1 byte": (POST, b"1\r\nx\r\n"),
    "chunks of 2 bytes": (POST, b"2\r\nxx\r\n"),
    "chunks of 16 bytes": (POST, b"10\r\n0123456789abcdef\r\n"),
    "pipelined requests": (b"", b"GET / HTTP/1.1\r\n\r\n"),
    "pipelined requests with headers": (b"", b"GET / HTTP/1.1\r\nA:b\r\n\r\n"),
    "pipelined chunked requests": (b"", POST + b"1\r\nx\r\n0\r\n\r\n"),
    "headers": (b"GET / HTTP/1.1\r\n", b"A:\r\n"),
    "trailers": (POST + b"0\r\n", b"A:\r\n"),
    "chunk extensions": (POST, b"1;a=b\r\nx\r\n"),
}
ANSWERS = {
    "chunks of 1 byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of 2 bytes": (CHUNKED, b"2\r\nxx\r\n"),
    "chunks of 16 bytes": (CHUNKED, b"10\r\n0123456789abcdef\r\n"),
    "headers": (OK, b"A:\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"A:\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 E\r\n\r\n"),
    "chunk extensions": (CHUNKED, b"1;a=b\r\nx\r\n"),
    "bytes after the end": (OK + b"Content-Length: 2\r\n\r\nok", b"\r\n"),
}


@pytest.mark.parametrize("count", [1, 40])
@pytest.mark.parametrize("name", UPLOADS)
def test_other_clients_are_answered_beside_an_upload_in_small_pieces(name, count):
    """One client took all of a node's memory, or kept all others waiting."""

    async def answer(request):
        return HttpAnswer(200, (), b"ok")

    async def main():
        listener = HttpListener(
            answer,
            lambda request: 64 * 2**20,
            lambda rejected: HttpAnswer(rejected.status),
            lambda: HttpLimits(16 * 1024, 3.0, 15.0),
        )
        await listener.listen("127.0.0.1", 0)
        port = listener._server.sockets[0].getsockname()[1]
        watch = Watch()
        watching = asyncio.create_task(watch.run())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answered = 0
        with run_flood("client", port, count, *UPLOADS[name]):
            end_s = time.monotonic() + TIME_S
            while time.monotonic() < end_s:
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\nok")
                assert head.startswith(b"HTTP/1.1 200")
                answered += 1
                await asyncio.sleep(0.01)
        watching.cancel()
        writer.close()
        await listener.close()
        watch.check()
        assert answered > TIME_S / TURN_MAX_S

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 40])
@pytest.mark.parametrize("name", ANSWERS)
def test_event_loop_goes_on_beside_an_answer_in_small_pieces(name, count):
    """The node that called the server ran out of memory, or served nobody else."""

    async def main():
        watch = Watch()
        with run_flood("server", 0, count, *ANSWERS[name]) as process:
            port = int(process.stdout.readline())
            client = CurlServerClient()
            watching = asyncio.create_task(watch.run())
            url = f"http://127.0.0.1:{port}/"
            request = ServerRequest(url, "GET", (), b"", TIME_S, 64 * 2**20)
            results = await asyncio.gather(
                *(client.send(request) for _ in range(count))
            )
            client.close()
        watching.cancel()
        watch.check()
        expected = Responded if name == "bytes after the end" else Broken
        assert {type(result) for result in results} == {expected}

    asyncio.run(main())


@pytest.mark.parametrize("size", [1, 2, 7])
def test_whole_body_of_small_chunks_arrives(size):
    body = bytes(range(256)) * 40
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks) + b"0\r\n\r\n"
    received = []

    async def answer(request):
        received.append(request.body)
        return HttpAnswer(200, (), b"ok")

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + encoded)

    async def main():
        listener = HttpListener(
            answer,
            lambda request: 2**20,
            lambda rejected: HttpAnswer(rejected.status),
            HttpLimits,
        )
        await listener.listen("127.0.0.1", 0)
        port = listener._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # The next request is sent before the first one has been parsed.
        writer.write(POST + encoded + POST + encoded)
        async with asyncio.timeout(10):
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\nok")
                assert head.startswith(b"HTTP/1.1 200"), head
        writer.close()
        await listener.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = CurlServerClient()
        request = ServerRequest(
            f"http://127.0.0.1:{port}/", "GET", (), b"", 10.0, 2**20
        )
        result = await client.send(request)
        client.close()
        server.close()
        assert isinstance(result, Responded), result
        received.append(result.body)

    asyncio.run(main())
    assert received == [body] * 3
