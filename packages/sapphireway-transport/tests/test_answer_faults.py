"""Random faults of a server's answers: no request gets a part, or another's answer.

The server writes copies of earlier answers at any moment, breaks answers off at any
byte, and does so on connections of requests and of health checks alike.
"""

import asyncio
import contextlib
import os
import random
import socket
import struct

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from tests.malformed import flip_byte, make_settings

from sapphireway_transport import (
    Broken,
    CurlServerClient,
    NotSent,
    Responded,
    ServerRequest,
)

SEED_COUNT = int(os.environ.get("SAPPHIREWAY_SEEDS", "3"))
FIRST_SEED = int(os.environ.get("SAPPHIREWAY_FIRST_SEED", "0"))
REQUESTS = 150
CALLERS = 4
ID_HEADER = "Attempt"
NOT_RUN = "Not-Run"
FRAMINGS = ("length", "chunks", "close")


def get_url(server):
    host, port = server.sockets[0].getsockname()
    return f"http://{host}:{port}"


def make_body(request_id):
    return f"answer to {request_id};".encode() * 5


def make_answer(status, headers, body, framing):
    head = f"HTTP/1.1 {status} x\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    if framing == "close":
        return f"{head}Connection: close\r\n\r\n".encode() + body
    first, rest = body[:7], body[7:]
    chunks = b"%x\r\n%s\r\n%x\r\n%s\r\n" % (len(first), first, len(rest), rest)
    if not body:
        chunks = b""
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


async def end_connections(tasks, writers):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in writers:
        writer.close()
    closing = (writer.wait_closed() for writer in writers)
    await asyncio.gather(*closing, return_exceptions=True)


class FaultyServer:
    """Runs, refuses or sheds requests, and spoils some of the answers."""

    def __init__(self, rng, fault_rate):
        self.rng = rng
        self.fault_rate = fault_rate
        self.ran, self.refused = set(), set()
        self.ended_by_close = set()  # requests with an answer that has no length
        self.sent = []
        self.writers, self.tasks = [], []
        self.unfinished = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = get_url(self._server)
        return self

    async def __aexit__(self, *error):
        self._server.close()
        await end_connections(self.tasks, self.writers)

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        self.tasks.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(
                    line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                await reader.readexactly(int(lines.get("content-length", 0)))
                is_health = "/health" in head
                if not await self._answer(writer, lines[ID_HEADER.lower()], is_health):
                    break
        writer.close()

    def _write_late(self, writer, data):
        # Bytes in the middle of an answer of a known length can't be told from its own.
        if not writer.is_closing() and writer not in self.unfinished:
            writer.write(data)

    async def _answer(self, writer, request_id, is_health):
        """Answer one request; return False to close the connection."""
        rng = self.rng
        headers = {ID_HEADER: request_id}
        framing = rng.choice(FRAMINGS)
        if is_health:
            status, body = rng.choice([200, 503]), b""
        elif rng.random() < 0.25:
            self.refused.add(request_id)
            status, body = 503, b"full"
            headers[NOT_RUN] = "1"
        else:
            self.ran.add(request_id)
            status, body = 200, make_body(request_id)
        if framing == "close":
            self.ended_by_close.add(request_id)
        answer = make_answer(status, headers, body, framing)
        self.sent.append(answer)
        if rng.random() > self.fault_rate:
            writer.write(answer)
            return framing != "close"
        match rng.randrange(6):
            case 0:  # an earlier answer first
                writer.write(rng.choice(self.sent[-20:]) + answer)
            case 1:  # the same answer twice
                writer.write(answer * 2)
            case 2:  # an earlier answer, later, maybe in the middle of another one
                writer.write(answer)
                late = rng.choice(self.sent[-20:])
                delay_s = rng.uniform(0.0, 0.02)
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._write_late, writer, late)
            case 3:  # broken off, with a pause before the end
                self.unfinished.add(writer)
                writer.write(answer[: rng.randrange(len(answer))])
                await asyncio.sleep(rng.choice([0.0, 0.005]))
                if rng.random() < 0.5:
                    writer.transport.abort()
                return False
            case 4:  # broken off, and the connection stays open
                self.unfinished.add(writer)
                writer.write(answer[: rng.randrange(len(answer))])
                return True
            case 5:  # byte by byte
                self.unfinished.add(writer)
                for offset in range(len(answer)):
                    writer.write(answer[offset : offset + 1])
                    if offset % 40 == 0:
                        await asyncio.sleep(0)
                self.unfinished.discard(writer)
        return framing != "close"


def make_request(url, path, request_id, method, close_delimited):
    body = b"x" * 50 if method == "POST" else b""
    return ServerRequest(
        url + path,
        method,
        ((ID_HEADER, request_id),),
        body,
        0.3,
        10_000,
        (ID_HEADER, request_id),
        close_delimited,
        lambda answer: True,
    )


async def call(server, client, rng, name):
    """Send requests, some repeated under their id, and check each answer."""
    answered = 0
    for number in range(REQUESTS // CALLERS):
        request_id = f"{name}-{number}"
        method = rng.choice(["GET", "POST"])
        tries = rng.choice([1, 1, 2])
        for _ in range(tries):
            request = make_request(server.url, "/a", request_id, method, True)
            result = await client.send(request)
            assert isinstance(result, Responded | Broken | NotSent)
            if not isinstance(result, Responded):
                continue
            names = {name for name, _ in result.headers}
            if result.status == 200:
                _check_body(server, request_id, result)
                answered += 1
            elif NOT_RUN in names:
                assert request_id in server.refused
                assert tries > 1 or request_id not in server.ran
            else:
                pytest.fail(f"{request_id} got the answer of a health check")
    return answered


def _check_body(server, request_id, result):
    body = make_body(request_id)
    if result.body != body:
        # Only an answer without a length may end where its connection does.
        assert request_id in server.ended_by_close, f"{request_id}: {result}"
        assert body.startswith(result.body), f"{request_id}: {result}"


async def check_health(server, client, rng):
    for number in range(REQUESTS):
        request = make_request(server.url, "/health", f"health-{number}", "GET", True)
        result = await client.send(request)
        if isinstance(result, Responded):
            names = {name for name, _ in result.headers}
            assert NOT_RUN not in names and b"answer" not in result.body
        await asyncio.sleep(rng.uniform(0.0, 0.004))


async def run_faults(seed, fault_rate):
    rng = random.Random(seed)
    client, health = CurlServerClient(), CurlServerClient(1)
    async with FaultyServer(rng, fault_rate) as server:
        callers = (call(server, client, rng, f"c{n}") for n in range(CALLERS))
        answered = await asyncio.gather(*callers, check_health(server, health, rng))
        client.close()
        health.close()
    return sum(answered[:-1])


@pytest.mark.parametrize("fault_rate", [0.1, 0.5])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_no_request_gets_a_part_or_the_answer_of_another_one(seed, fault_rate):
    """Cut heads became empty successes, and answers of health checks refusals."""
    assert asyncio.run(run_faults(seed, fault_rate)) > REQUESTS // 10


SAMPLE = make_answer(200, {ID_HEADER: "1", "Keep-Alive": "timeout=5"}, b"ok", "length")


async def exchange(answer):
    """Return the results of a request that gets `answer`, and of the next one."""

    async def serve(reader, writer):
        writers.append(writer)
        tasks.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answers.pop(0))
        writer.close()

    writers, tasks = [], []
    answers = [answer, make_answer(200, {ID_HEADER: "2"}, b"ok", "length")]
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = get_url(server)
    client = CurlServerClient()
    results = [
        await client.send(make_request(url, "/a", request_id, "GET", True))
        for request_id in ("1", "2")
    ]
    client.close()
    server.close()
    await end_connections(tasks, writers)
    return results


@make_settings(150)
@given(
    st.one_of(
        st.binary(max_size=80),
        st.binary(max_size=60).map(lambda tail: b"HTTP/1.1 " + tail),
        st.binary(max_size=60).map(lambda tail: b"HTTP/1.1 200 OK\r\n" + tail),
        st.builds(
            flip_byte,
            st.just(SAMPLE),
            st.integers(0, len(SAMPLE) - 1),
            st.integers(1, 255),
        ),
        st.text(max_size=20).map(
            lambda text: SAMPLE.replace(b"timeout=5", text.encode())
        ),
    )
)
@example(b"\r")
@example(b"HTTP/1.1")
@example(b"HTTP/1.1 2")
@example(b"HTTP/2 200\r\n\r\n")
@example(b"HTTP/1.1 \xb2\xb2\xb2 OK\r\n\r\n")
def test_any_bytes_of_a_server_are_an_answer_or_broken(capfd, answer):
    """An error while they are read is printed by libcurl's binding and not raised."""
    first, second = asyncio.run(exchange(answer))
    assert isinstance(first, Responded | Broken)
    assert isinstance(second, Responded) and second.body == b"ok"
    assert "Traceback" not in capfd.readouterr().err


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_status_that_http_does_not_have_is_no_answer(status):
    answer = SAMPLE.replace(b" 200 ", f" {status} ".encode())
    first, second = asyncio.run(exchange(answer))
    assert isinstance(first, Broken) and not first.disconnected
    assert isinstance(second, Responded)


async def upload(size, version, delay_s):
    """Return the result of an upload that a server answers in part, and resets."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/{version} 200 OK\r\n{ID_HEADER}: 1\r\n\r\npart".encode())
        await writer.drain()
        await asyncio.sleep(delay_s)
        # A close without lingering resets the connection, whatever has been read.
        connection = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = CurlServerClient()
    url = get_url(server)
    headers, body = ((ID_HEADER, "1"),), bytes(size)
    result = await client.send(
        ServerRequest(url, "POST", headers, body, 2.0, 10_000, None, True)
    )
    client.close()
    server.close()
    return result


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("size", [3_000, 2_000_000, 20_000_000])
def test_early_answer_without_length_that_is_reset_is_broken(size, version, delay_s):
    assert isinstance(asyncio.run(upload(size, version, delay_s)), Broken)
