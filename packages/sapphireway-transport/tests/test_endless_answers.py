"""Servers that send without end, which must not exhaust the node's memory."""

import asyncio
import contextlib
import itertools
import tracemalloc

import pytest

from sapphireway_transport import (
    Broken,
    CurlServerClient,
    Responded,
    ServerRequest,
)

BODY_MAX_BYTES = 256 * 1024
MEMORY_MAX_BYTES = 4 * 1024 * 1024  # of one answer, far below the memory of a host
SENT_MAX_BYTES = 96 * 1024 * 1024  # until the connection is closed
TIMEOUT_S = 20.0  # the request must end long before, except where the server is slow
PIECE_BYTES = 16 * 1024
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * PIECE_BYTES

ENDLESS = {
    "bytes that are no answer": (b"", FILLER),
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header line": (OK_HEAD + b"A: ", FILLER),
    "headers": (OK_HEAD, b"A: b\r\n" * 1000),
    "folded header": (OK_HEAD + b"A: b\r\n", b" more\r\n" * 1000),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" * 200),
    "chunks": (CHUNKED_HEAD, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "small chunks": (CHUNKED_HEAD, b"1\r\nx\r\n" * 1000),
    "chunk size": (CHUNKED_HEAD, b"0" * PIECE_BYTES),
    "chunk extension": (CHUNKED_HEAD + b"1;", FILLER),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 1000),
    "trailer line": (CHUNKED_HEAD + b"0\r\nA: ", FILLER),
    "body without a length": (OK_HEAD + b"\r\n", FILLER),
    "body of a great length": (
        OK_HEAD + b"Content-Length: 99999999999\r\n\r\n",
        FILLER,
    ),
}


class EndlessServer:
    """Answers /endless with a start and pieces until the connection ends.

    Attributes
    ----------
    sent_bytes : int
    closed : asyncio.Event
        Set when the client has closed the connection of the endless answer.
    """

    def __init__(self, start, piece, pause_s=0.0):
        self.start, self.piece, self.pause_s = start, piece, pause_s
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.client = CurlServerClient()
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self._server.close()

    async def send(self, path, timeout_s=TIMEOUT_S):
        request = ServerRequest(
            self.url + path,
            "GET",
            (),
            b"",
            timeout_s,
            BODY_MAX_BYTES,
            close_delimited_allowed=True,
        )
        return await self.client.send(request)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/endless" in head:
                    await self._send_endlessly(writer)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()

    async def _send_endlessly(self, writer):
        try:
            for piece in itertools.chain([self.start], itertools.repeat(self.piece)):
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            self.closed.set()
            raise


@pytest.mark.parametrize("name", ENDLESS)
def test_fast_endless_answer_is_cut_off_within_bounds(name):
    async def main():
        async with EndlessServer(*ENDLESS[name]) as server:
            assert isinstance(await server.send("/short"), Responded)
            tracemalloc.start()
            endless = asyncio.create_task(server.send("/endless"))
            await asyncio.sleep(0)
            assert isinstance(await server.send("/short"), Responded)
            result = await endless
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert isinstance(result, Broken) and not result.timed_out, result
            assert peak_bytes < MEMORY_MAX_BYTES
            await asyncio.wait_for(server.closed.wait(), TIMEOUT_S)
            assert server.sent_bytes < SENT_MAX_BYTES
            assert isinstance(await server.send("/short"), Responded)

    asyncio.run(main())


@pytest.mark.parametrize("name", ENDLESS)
def test_slow_endless_answer_ends_at_the_deadline(name):
    async def main():
        start, piece = ENDLESS[name]
        async with EndlessServer(start, piece[:1], pause_s=0.01) as server:
            endless = asyncio.create_task(server.send("/endless", timeout_s=0.3))
            await asyncio.sleep(0.05)
            assert isinstance(await server.send("/short"), Responded)
            result = await endless
            assert isinstance(result, Broken), result
            await asyncio.wait_for(server.closed.wait(), TIMEOUT_S)

    asyncio.run(main())


def test_endless_answers_together_stay_within_the_memory_of_the_client():
    # Each alone stays below its limit, as an upload's answer may be large.
    async def main():
        async with EndlessServer(OK_HEAD + b"\r\n", FILLER) as server:
            server.client = CurlServerClient(answers_max_bytes=3 * BODY_MAX_BYTES)
            tracemalloc.start()
            results = await asyncio.gather(
                *(server.send("/endless") for _ in range(12))
            )
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert all(isinstance(result, Broken) for result in results)
            assert peak_bytes < 2 * MEMORY_MAX_BYTES

    asyncio.run(main())
