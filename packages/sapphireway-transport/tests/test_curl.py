import asyncio
import contextlib
import os
import socket
import struct
import time

import pycurl
import pytest

from sapphireway_transport import (
    Broken,
    CurlServerClient,
    NotSent,
    Responded,
    ServerRequest,
)
from sapphireway_transport._curl import _OpenSockets, _Transfer

CRASH = b"crash"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CutOff(bytes):
    """Part of an answer, after which the server closes the connection."""


class Reset(bytes):
    """Part of an answer, after which the server resets the connection."""


async def close_all(writers):
    """Close writers; one that outlives its loop raises in the garbage collector."""
    for writer in writers:
        writer.close()
    closing = (writer.wait_closed() for writer in writers)
    await asyncio.gather(*closing, return_exceptions=True)


@contextlib.asynccontextmanager
async def serve_by(serve):
    """Yield the port of a server that handles each connection by `serve`."""
    writers = []

    async def handle(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        await close_all(writers)


class RawServer:
    """Sends raw answers from a list, one per request, and `ANSWER` after the last.

    None closes the connection instead; CRASH also closes the listening socket. After
    an empty answer the connection stays open.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = []
        self.closed = asyncio.Event()
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.client = CurlServerClient()
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self._server.close()
        await close_all(self._writers)

    async def send(
        self,
        method="GET",
        body=b"",
        headers=(),
        *,
        timeout_s=2.0,
        echo=None,
        close_delimited=False,
        needs_echo=lambda answer: False,
    ):
        url = f"http://127.0.0.1:{self.port}/a/../b?c=%20d"
        return await self.client.send(
            ServerRequest(
                url,
                method,
                headers,
                body,
                timeout_s,
                1000,
                echo,
                close_delimited,
                needs_echo,
            )
        )

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                self.requests.append((head, await reader.readexactly(length)))
                answer = self.answers.pop(0) if self.answers else ANSWER
                if answer is None:
                    break
                if answer is CRASH:
                    self._server.close()
                    break
                writer.write(answer)
                if isinstance(answer, Reset):
                    await writer.drain()
                    set_reset_on_close(writer)
                if isinstance(answer, CutOff | Reset):
                    break
                if answer.startswith(b"HTTP") and not answer.endswith(b"ok"):
                    break
        writer.close()
        self.closed.set()


def set_reset_on_close(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )


def run_against(*answers):
    def decorate(test):
        def run():
            async def main():
                async with RawServer(*answers) as server:
                    await test(server)

            asyncio.run(main())

        run.__name__ = test.__name__
        return run

    return decorate


@run_against()
async def test_send_passes_request_unchanged(server):
    headers = (("X-A", "1"), ("X-Empty", ""), ("Content-Length", "9"))
    result = await server.send("POST", b"body", headers)
    assert result == Responded(200, (), b"ok")
    head, body = server.requests[0]
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/../b?c=%20d HTTP/1.1"
    assert "X-A: 1" in lines and "X-Empty:" in lines and "Content-Length: 4" in lines
    names = {line.split(":")[0].lower() for line in lines[1:]}
    assert not names & {"expect", "accept", "user-agent", "content-type"}
    assert body == b"body"


@run_against()
async def test_connection_and_handle_are_reused(server):
    for method, body in (("POST", b"x"), ("GET", b""), ("DELETE", b""), ("PUT", b"")):
        assert isinstance(await server.send(method, body), Responded)
    assert server.connections == 1
    assert [head.split(b" ")[0] for head, _ in server.requests] == [
        b"POST",
        b"GET",
        b"DELETE",
        b"PUT",
    ]


@run_against(ANSWER, None)
async def test_request_is_not_resent_when_reused_connection_closes(server):
    assert isinstance(await server.send("POST", b"1"), Responded)
    result = await server.send("POST", b"2")
    assert isinstance(result, Broken) and result.disconnected
    assert [body for _, body in server.requests] == [b"1", b"2"]
    # The handle is still usable for the next request.
    assert isinstance(await server.send("POST", b"3"), Responded)


@run_against(ANSWER, None)
async def test_crash_on_reused_connection_differs_from_refusal(server):
    assert isinstance(await server.send("POST", b"1"), Responded)
    server._server.close()
    result = await server.send("POST", b"2")
    assert isinstance(result, Broken) and result.disconnected
    assert isinstance(await server.send("POST", b"3"), NotSent)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,
        None,
    ],
    ids=["length", "chunks", "chunk", "no_length", "head", "too_large", "nothing"],
)
def test_incomplete_or_too_large_answer_is_broken(answer):
    @run_against(answer)
    async def send(server):
        assert isinstance(await server.send("POST", b"1"), Broken)

    send()


FRAMED_ANSWERS = {
    "length": (b"Content-Length: 9\r\n\r\n", b"some text"),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"4;a=b\r\nsome\r\n5\r\n text\r\n0\r\nA: 1\r\nHTTP/1: 2\r\n\r\n",
    ),
    "close": (b"\r\n", b"some text"),
}
INTERIM_HEADS = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
STATUS_HEAD = b"HTTP/1.1 200 OK\r\nAttempt: 1\r\n"


@pytest.mark.parametrize("framing", FRAMED_ANSWERS)
@pytest.mark.parametrize("end", [CutOff, Reset])
@pytest.mark.parametrize("method", ["GET", "POST", "HEAD"])
def test_answer_broken_off_at_any_byte_is_no_success(framing, end, method):
    head_end, body = FRAMED_ANSWERS[framing]
    head = INTERIM_HEADS + STATUS_HEAD + head_end
    whole = head + body
    # A close can't be told from the end of a body that the connection delimits, and a
    # HEAD request's answer ends with the head.
    ends_with_head = method == "HEAD" or (framing == "close" and end is CutOff)
    count = len(head) if ends_with_head else len(whole)

    @run_against(*(end(whole[:number]) for number in range(count)))
    async def send(server):
        for number in range(count):
            result = await server.send(
                method, echo=("Attempt", "1"), close_delimited=True
            )
            assert isinstance(result, Broken), (whole[:number], result)

    send()


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    ],
    ids=["unreadable_length", "upgrade", "interim"],
)
def test_answer_without_a_readable_end_is_no_success(head):
    @run_against(CutOff(head + b"text"))
    async def send(server):
        assert isinstance(await server.send(close_delimited=True), Broken)

    send()


@pytest.mark.parametrize("framing", FRAMED_ANSWERS)
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_answer_cut_before_the_last_byte_of_its_head_is_no_success(framing, method):
    head = STATUS_HEAD + FRAMED_ANSWERS[framing][0]

    @run_against(CutOff(head[:-1]))
    async def send(server):
        result = await server.send(method, close_delimited=True)
        assert isinstance(result, Broken), result

    send()


@run_against(CutOff(STATUS_HEAD + b"\r\ntext"))
async def test_answer_that_a_close_delimits_is_complete(server):
    result = await server.send(close_delimited=True)
    assert result == Responded(200, (("Attempt", "1"),), b"text")


@run_against(CutOff(CHUNKED_HEAD + b"2\r\nok\r\n0\r\nHTTP/1: 5\r\n\r\n"))
async def test_trailer_does_not_change_the_status(server):
    assert await server.send() == Responded(200, (), b"ok")


@run_against(CutOff(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\ntext"))
async def test_coding_other_than_chunks_delimits_no_answer(server):
    assert isinstance(await server.send(), Broken)


@pytest.mark.parametrize(
    ("answer", "position"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "after 5 of 9 bytes"),
        (CHUNKED_HEAD + b"9\r\nshort", "after 5 bytes of the body"),
        (b"HTTP/1.1 200 OK\r\nA: 1\r\nB", "in the head of the answer, after 23 bytes"),
        (None, "no part of an answer"),
    ],
    ids=["length", "chunk", "head", "nothing"],
)
def test_broken_answer_is_reported_with_the_position_of_its_end(answer, position):
    @run_against(answer)
    async def send(server):
        assert position in (await server.send("POST", b"1")).detail

    send()


@run_against(ANSWER, CRASH)
async def test_server_crash_on_reused_connection_is_disconnection(server):
    await server.send()
    result = await server.send()
    assert isinstance(result, Broken)
    assert result.disconnected


@run_against(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    b"X-A: 1\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: 2\r\n\r\n"
)
async def test_chunked_answer_is_complete(server):
    assert await server.send() == Responded(200, (("X-A", "1"),), b"ok")


@run_against(
    b"HTTP/1.1 200 OK\r\nX-A: \t voil\xc3\xa0 \t\r\nX-B: \x85b\xa0\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
async def test_value_loses_only_blanks_and_tabs_at_its_ends(server):
    """Bytes 85 and a0 were cut off: the last one of a letter in UTF-8, for example."""
    result = await server.send()
    assert result.headers == (("X-A", "voil\xc3\xa0"), ("X-B", "\x85b\xa0"))


@run_against(b"HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n")
async def test_bodiless_answer_is_complete(server):
    assert await server.send() == Responded(204, (("X-A", "1"),), b"")


@run_against(b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n")
async def test_redirect_is_not_followed(server):
    assert (await server.send()).status == 302
    assert len(server.requests) == 1


@run_against(b"")
async def test_silent_server_times_out(server):
    result = await server.send(timeout_s=0.05)
    assert isinstance(result, Broken) and result.timed_out


@run_against(b"")
async def test_cancel_closes_connection(server):
    sending = asyncio.create_task(server.send(timeout_s=30))
    while not server.requests:
        await asyncio.sleep(0.001)
    sending.cancel()
    async with asyncio.timeout(2):
        await server.closed.wait()
    assert isinstance(await server.send(), Responded)


@run_against()
async def test_refused_connection_is_not_sent(server):
    server._server.close()
    assert isinstance(await server.send("POST", b"1"), NotSent)


@run_against()
async def test_malformed_header_is_not_sent(server):
    assert isinstance(await server.send(headers=(("a", "b\r\nc: d"),)), NotSent)
    assert not server.requests


@run_against(b"")
async def test_connections_stay_within_limit(server):
    server.client.set_connections_max(1)
    waiting = asyncio.create_task(server.send(timeout_s=0.3))
    while not server.requests:
        await asyncio.sleep(0.001)
    result = await server.send(timeout_s=0.1)
    # The request waited for a connection and was not sent.
    assert isinstance(result, NotSent)
    assert server.connections == 1
    await waiting


@pytest.mark.parametrize("timeout", ["9" * 12, "9" * 25, "9" * 5000])
def test_keep_alive_of_any_length_breaks_no_request(timeout):
    head = f"HTTP/1.1 200 OK\r\nKeep-Alive: timeout={timeout}\r\n"
    answer = head.encode() + b"Content-Length: 2\r\n\r\nok"

    @run_against(answer)
    async def check(server):
        for _ in range(3):
            assert isinstance(await server.send(), Responded)

    check()


@pytest.mark.parametrize(
    ("length", "is_whole"),
    [("2, 2", True), ("02,2", True), ("0" * 30 + "2", True), ("2, 3", False)],
)
def test_answer_is_whole_if_its_lengths_are_equal(length, is_whole):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"

    @run_against(head.encode() + b"ok")
    async def check(server):
        assert isinstance(await server.send(), Responded) is is_whole

    check()


def make_echoing_answer(attempt, body=b"ok"):
    head = f"HTTP/1.1 200 OK\r\nAttempt: {attempt}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


@run_against(make_echoing_answer("1"), make_echoing_answer("1") * 2)
async def test_late_copy_of_an_answer_reaches_no_other_request(server):
    first = await server.send(echo=("Attempt", "1"))
    assert isinstance(first, Responded)
    late = await server.send(echo=("Attempt", "2"))
    assert late == Broken("the answer belongs to another request")
    after = await server.send(echo=("Attempt", "3"))
    assert isinstance(after, Responded) and server.connections == 2


@run_against(make_echoing_answer("1") * 2)
async def test_extra_answer_on_an_idle_connection_reaches_no_request(server):
    await server.send(echo=("Attempt", "1"))
    await asyncio.sleep(0.05)
    after = await server.send()
    assert isinstance(after, Responded) and server.connections == 2


def says_not_run(answer):
    return answer.status == 503


REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nok"


@run_against(make_echoing_answer("1"), REFUSAL, ANSWER)
async def test_refusal_without_an_id_on_a_used_connection_refuses_no_request(server):
    await server.send(echo=("Attempt", "1"), needs_echo=says_not_run)
    late = await server.send(echo=("Attempt", "2"), needs_echo=says_not_run)
    assert late == Broken("the answer names no request")
    after = await server.send(echo=("Attempt", "3"), needs_echo=says_not_run)
    assert isinstance(after, Responded) and server.connections == 2


@run_against(REFUSAL)
async def test_first_answer_of_a_connection_needs_no_id(server):
    refused = await server.send(echo=("Attempt", "1"), needs_echo=says_not_run)
    assert refused == Responded(503, (), b"ok")


@run_against(make_echoing_answer("1"), ANSWER)
async def test_answer_without_an_id_is_accepted_where_none_is_needed(server):
    await server.send(echo=("Attempt", "1"), needs_echo=says_not_run)
    after = await server.send(echo=("Attempt", "2"), needs_echo=says_not_run)
    assert isinstance(after, Responded) and server.connections == 1


INTERIM_ECHO = b"HTTP/1.1 103 Early Hints\r\nAttempt: 2\r\n\r\n"


@run_against(make_echoing_answer("1"), INTERIM_ECHO + REFUSAL)
async def test_id_of_an_interim_answer_does_not_identify_the_final_one(server):
    await server.send(echo=("Attempt", "1"), needs_echo=says_not_run)
    late = await server.send(echo=("Attempt", "2"), needs_echo=says_not_run)
    assert isinstance(late, Broken)


@run_against(make_echoing_answer("1"), make_echoing_answer("2"))
async def test_copy_of_an_answer_is_not_read_by_a_repeat_of_its_request(server):
    await server.send(echo=("Attempt", "1"))
    await server.send(echo=("Attempt", "2"))
    assert server.connections == 1
    server.answers.append(make_echoing_answer("1"))
    assert isinstance(await server.send(echo=("Attempt", "1")), Responded)
    assert server.connections == 2


REFUSAL_OF_1 = b"HTTP/1.1 503 Full\r\nAttempt: 1\r\nContent-Length: 0\r\n\r\n"


async def refuse_twice(reader, writer):
    """Refuse the first request of a connection, and again in place of each answer."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(REFUSAL_OF_1)
    writer.close()


async def accept(reader, writer):
    """Answer the first request of a connection."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(make_echoing_answer("1"))


@run_against()
async def test_refusal_written_once_more_refuses_no_repeat_that_runs(server):
    serve = iter((refuse_twice, accept))
    async with serve_by(lambda *streams: next(serve)(*streams)) as server.port:
        refused = await server.send("POST", b"", echo=("Attempt", "1"))
        assert refused.status == 503
        repeat = await server.send("POST", b"", echo=("Attempt", "1"))
        assert isinstance(repeat, Responded) and repeat.status == 200


def answer_then_send(extra):
    """Return a server that sends this after its first answer, unasked."""
    later = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for number in ("1", "2") if not later else ("2",):
                later.append(number)
                await reader.readuntil(b"\r\n\r\n")
                writer.write(make_echoing_answer(number))
                if number == "1":
                    await writer.drain()
                    await asyncio.sleep(0.02)
                    writer.write(extra)
        await reader.read()
        writer.close()

    return serve


CUT_REFUSAL = b"HTTP/1.1 503 Full\r\nSapphireway-Not-Run: "


@run_against()
async def test_request_is_not_sent_once_more_by_a_closed_client(server):
    finish = CurlServerClient._finish

    def finish_and_close(client, easy, *arguments):
        found_input = client._active_transfers[easy].found_input
        finish(client, easy, *arguments)
        if found_input:
            client.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(CurlServerClient, "_finish", finish_and_close)
        async with serve_by(answer_then_send(b"bytes")) as server.port:
            await server.send("POST", echo=("Attempt", "1"))
            await asyncio.sleep(0.1)
            result = await server.send("POST", echo=("Attempt", "2"))
    assert result == NotSent("the client closed")


@run_against()
async def test_request_to_a_closed_client_is_not_sent(server):
    server.client.close()
    assert await server.send() == NotSent("the client closed")


@pytest.mark.parametrize(
    "extra",
    [b"bytes", b"\r\n", REFUSAL_OF_1, CUT_REFUSAL],
    ids=["bytes", "line", "answer", "head"],
)
def test_bytes_on_an_idle_connection_are_read_by_no_request(extra):
    @run_against()
    async def send(server):
        async with serve_by(answer_then_send(extra)) as server.port:
            first = await server.send("POST", echo=("Attempt", "1"))
            await asyncio.sleep(0.1)
            after = await server.send("POST", echo=("Attempt", "2"))
            assert (first.status, after.status) == (200, 200)

    send()


CUT_HEADS = {
    "status": b"HTTP/1.1 503 Fu",
    "field": CUT_REFUSAL,
    "name": b"HTTP/1.1 503 Full\r\nContent-Ty",
    "line": b"HTTP/1.1 503 Full\r\nSapphireway-Not-Run: 1\r\n",
}


@pytest.mark.parametrize("cut", CUT_HEADS)
def test_cut_head_of_another_answer_is_not_joined_to_the_next_one(cut):
    @run_against(make_echoing_answer("1"), CUT_HEADS[cut] + make_echoing_answer("2"))
    async def send(server):
        await server.send(echo=("Attempt", "1"))
        late = await server.send(echo=("Attempt", "2"))
        assert isinstance(late, Broken), late
        after = await server.send(echo=("Attempt", "3"))
        assert isinstance(after, Responded) and server.connections == 2

    send()


@run_against(b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 a\r\nContent-Length: 2\r\n\r\nok")
async def test_field_that_names_the_protocol_is_no_second_head(server):
    assert isinstance(await server.send(), Responded)


def make_answer_with_lines(*lines):
    head = "\r\n".join(("HTTP/1.1 200 OK", *lines, "Content-Length: 2"))
    return head.encode() + b"\r\n\r\nok"


UPSTREAM_FIELD = "X-Upstream: HTTP/1.1 404 Not Found"


@run_against(
    make_echoing_answer("1"), make_answer_with_lines("Attempt: 2", UPSTREAM_FIELD)
)
async def test_status_line_in_a_field_behind_the_id_is_no_second_head(server):
    await server.send(echo=("Attempt", "1"))
    proxied = await server.send(echo=("Attempt", "2"))
    headers = (("Attempt", "2"), ("X-Upstream", "HTTP/1.1 404 Not Found"))
    assert proxied == Responded(200, headers, b"ok")
    assert server.connections == 1


JOINED_HEADS = {
    "id_after": make_answer_with_lines(UPSTREAM_FIELD, "Attempt: 2"),
    "id_of_interim": INTERIM_ECHO
    + make_answer_with_lines(UPSTREAM_FIELD, "Attempt: 2"),
    "status_after_interim": INTERIM_ECHO
    + b"HTTP/1.1 503 Fu"
    + make_answer_with_lines("Attempt: 2"),
    "cut_id": make_answer_with_lines("Attempt: HTTP/1.1 200 OK", "Attempt: 2"),
    "other_id": make_answer_with_lines("Attempt: 1", UPSTREAM_FIELD, "Attempt: 2"),
    "other_id_after": make_answer_with_lines(
        "Attempt: 2", UPSTREAM_FIELD, "Attempt: 1"
    ),
}


@pytest.mark.parametrize("head", JOINED_HEADS)
def test_id_that_may_be_of_a_second_head_does_not_identify_the_first(head):
    @run_against(make_echoing_answer("1"), JOINED_HEADS[head])
    async def send(server):
        await server.send(echo=("Attempt", "1"))
        joined = await server.send(echo=("Attempt", "2"))
        assert isinstance(joined, Broken), joined
        after = await server.send(echo=("Attempt", "3"))
        assert isinstance(after, Responded) and server.connections == 2

    send()


@run_against(ANSWER)
async def test_request_is_sent_once_if_its_connection_is_not_known(server):
    await server.send("POST")
    server.client._sockets._fds.clear()
    assert isinstance(await server.send("POST"), Responded)
    assert server.connections == 2 and len(server.requests) == 2


@contextlib.contextmanager
def listen_silently(address):
    """Let connections to an address wait, as its queue of them is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(address)
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield


@run_against()
async def test_request_is_sent_if_another_address_of_its_host_is_silent(server):
    prepare = _Transfer.prepare

    def resolve(transfer, *arguments):
        prepare(transfer, *arguments)
        addresses = f"two.test:{server.port}:127.0.0.2,127.0.0.1"
        transfer.easy.setopt(pycurl.RESOLVE, [addresses])

    request = ServerRequest(f"http://two.test:{server.port}/", "GET", (), b"", 2.0, 9)
    with listen_silently(("127.0.0.2", server.port)), pytest.MonkeyPatch.context() as p:
        p.setattr(_Transfer, "prepare", resolve)
        for _ in range(2):
            # libcurl closes the socket to the silent address before it sends.
            assert await server.client.send(request) == Responded(200, (), b"ok")
    assert server.connections == 1


def test_descriptor_that_was_used_again_is_not_taken_for_a_connection():
    connected, peer = socket.socketpair()
    reader, writer = os.pipe()
    with (
        connected,
        peer,
        os.fdopen(reader),
        os.fdopen(writer, "w"),
        socket.socket() as s,
    ):
        s.bind(("127.0.0.1", 0))
        port = s.getsockname()[1]
        sockets = _OpenSockets()
        sockets.add(port, [connected.fileno(), reader, s.fileno()])
        assert sockets._fds == {port: s.fileno()}


@run_against(b"", make_echoing_answer("1"))
async def test_repeat_beside_its_request_waits_for_no_connection_of_it(server):
    server.client.set_connections_max(1)
    first = asyncio.create_task(server.send(echo=("Attempt", "1"), timeout_s=0.1))
    while not server.requests:
        await asyncio.sleep(0.001)
    repeat = await server.send(echo=("Attempt", "1"))
    assert isinstance(repeat, Responded) and server.connections == 2
    assert isinstance(await first, Broken)


@run_against(make_echoing_answer("1"), ANSWER)
async def test_request_without_an_id_gets_no_copy_of_an_earlier_answer(server):
    await server.send(echo=("Attempt", "1"))
    assert isinstance(await server.send(echo=("Attempt", "")), Responded)
    assert server.connections == 2


@run_against(make_echoing_answer("1"), make_echoing_answer("made-up"))
async def test_server_may_make_up_the_id_of_a_request_without_one(server):
    await server.send(echo=("Attempt", "1"))
    result = await server.send(echo=("Attempt", ""))
    # The connection has carried nothing else, so the answer can't be another's.
    assert result == Responded(200, (("Attempt", "made-up"),), b"ok")
    assert server.connections == 2


@run_against(make_echoing_answer("made-up"), make_echoing_answer("made-up"))
async def test_answer_with_a_made_up_id_is_not_that_of_a_later_request(server):
    await server.send(echo=("Attempt", ""))
    late = await server.send(echo=("Attempt", "2"))
    assert late == Broken("the answer belongs to another request")
    assert server.connections == 1


@run_against(make_echoing_answer("made-up"))
async def test_id_that_a_server_made_up_is_not_sent_on_the_same_connection(server):
    await server.send(echo=("Attempt", ""))
    # A copy of the first answer has the id of this request.
    server.answers.append(make_echoing_answer("made-up"))
    assert isinstance(await server.send(echo=("Attempt", "made-up")), Responded)
    assert server.connections == 2


@run_against(*(make_echoing_answer(number) for number in (1, 2, 3, 4, 5, 1)))
async def test_connection_is_not_reused_once_its_ids_are_forgotten(server):
    server.client = CurlServerClient(sent_ids_max=2)
    for number in (1, 2, 3, 4, 5):
        await server.send(echo=("Attempt", str(number)))
    before = server.connections
    assert isinstance(await server.send(echo=("Attempt", "1")), Responded)
    assert server.connections == before + 1


@run_against(*(make_echoing_answer(number) for number in (1, 2, 3, 4, 5, 1)))
async def test_suspension_of_the_host_makes_no_connection_older_than_its_ids(server):
    server.client = CurlServerClient(sent_ids_max=2)
    for number in (1, 2, 3, 4, 5):
        await server.send(echo=("Attempt", str(number)))
    before = server.connections
    loop = asyncio.get_running_loop()
    read_time = loop.time
    # The loop counts a suspension; libcurl, in the age of a connection, does not.
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(loop, "time", lambda: read_time() + 100)
        assert isinstance(await server.send(echo=("Attempt", "1")), Responded)
    assert server.connections == before + 1


@run_against(*(make_echoing_answer(number) for number in (1, 2, 3, 4, 5, 6)))
async def test_connection_is_reused_once_it_is_newer_than_the_forgotten_ids(server):
    now_s = time.monotonic()
    server.client = CurlServerClient(sent_ids_max=2, get_time=lambda: now_s)
    for number in (1, 2, 3, 4, 5):
        await server.send(echo=("Attempt", str(number)))
    before = server.connections
    # libcurl counts an age below a second, so the connection was opened after them.
    now_s += 100
    assert isinstance(await server.send(echo=("Attempt", "6")), Responded)
    assert server.connections == before
