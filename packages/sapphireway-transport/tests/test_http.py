import asyncio
import contextlib
import socket

import pytest

from sapphireway_transport import (
    HttpAnswer,
    HttpLimits,
    HttpListener,
    MemoryBudget,
    _http_connection,
)

BODY_MAX_BYTES = 1000
HEADER_MAX_BYTES = 2000
HEADER_TIMEOUT_S = 0.2
IDLE_TIMEOUT_S = 0.4
ANSWER_BYTES = 300_000  # more than the kernel takes while nobody reads
GET = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
POST = GET.replace(b"GET", b"POST")


@pytest.fixture
def port():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()[1]


async def echo(request):
    body = f"{request.method} {request.target} {len(request.body)}".encode()
    return HttpAnswer(200, (("X-Kept", "1"),), body)


def make_listener(handle=echo, idle_timeout_s=IDLE_TIMEOUT_S):
    return HttpListener(
        handle,
        lambda request: BODY_MAX_BYTES,
        lambda rejected: HttpAnswer(rejected.status, (), rejected.detail.encode()),
        lambda: HttpLimits(HEADER_MAX_BYTES, HEADER_TIMEOUT_S, idle_timeout_s),
    )


async def send(port, *parts):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for part in parts:
        writer.write(part)
    answer = await reader.read()
    writer.close()
    return answer


def exchange(port, *parts, handle=echo):
    async def run():
        listener = make_listener(handle)
        await listener.listen("127.0.0.1", port)
        try:
            return await send(port, *parts)
        finally:
            listener.stop_accepting()
            await listener.close()

    return asyncio.run(run())


def make_chunked(size):
    return (
        POST
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + f"{size:x}\r\n".encode()
        + b"a" * size
        + b"\r\n0\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("raw", "status_code", "body"),
    [
        (
            b"GET /x?q=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            b"200",
            b"GET /x?q=1 0",
        ),
        (
            POST + b"Content-Length: 2\r\n\r\nab",
            b"200",
            b" 2",
        ),
        (make_chunked(BODY_MAX_BYTES), b"200", b"POST /x 1000"),
        (make_chunked(BODY_MAX_BYTES + 1), b"413", b"body is larger"),
        (
            POST + b"Content-Length: 1001\r\n\r\n",
            b"413",
            b"body is larger than 1000 bytes",
        ),
        (
            GET + b"B: " + b"b" * 2000 + b"\r\n\r\n",
            b"431",
            b"headers are larger than 2000 bytes",
        ),
        (b"GET HTTP/1.1\r\n\r\n", b"400", b"not well-formed"),
        (
            GET + b"Content-Length: 1, 2\r\n\r\n",
            b"400",
            b"not well-formed",
        ),
    ],
)
def test_listener_answers(port, raw, status_code, body):
    answer = exchange(port, raw)
    assert answer.startswith(b"HTTP/1.1 " + status_code)
    assert body in answer


def test_head_gets_no_body(port):
    answer = exchange(port, b"HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    assert answer.endswith(b"\r\n\r\n")


def test_disconnect_of_caller_cancels_its_request(port):
    async def run():
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def wait(request):
            started.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        listener = make_listener(wait)
        await listener.listen("127.0.0.1", port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET + b"\r\n")
        await started.wait()
        writer.close()
        async with asyncio.timeout(10):
            await cancelled.wait()
        await listener.finish_requests()
        listener.stop_accepting()
        await listener.close()

    asyncio.run(run())


def test_exception_in_handler_closes_connection_and_is_reported(port):
    async def run():
        reported = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: reported.append(context))

        async def fail(request):
            raise ValueError("broken")

        listener = make_listener(fail)
        await listener.listen("127.0.0.1", port)
        answer = await send(port, GET + b"\r\n")
        listener.stop_accepting()
        await listener.close()
        return answer, reported

    answer, reported = asyncio.run(run())
    assert answer == b""
    assert str(reported[0]["exception"]) == "broken"


def test_finish_requests_waits_for_incomplete_body(port):
    async def run():
        listener = make_listener()
        await listener.listen("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: 2\r\n\r\na")
        async with asyncio.timeout(10):
            while not listener._state.reading:
                await asyncio.sleep(0.01)
        listener.stop_accepting()
        finishing = asyncio.create_task(listener.finish_requests())
        await asyncio.sleep(0.1)
        waited = not finishing.done()
        writer.write(b"b")
        answer = await reader.read()
        await finishing
        writer.close()
        await listener.close()
        return waited, answer

    waited, answer = asyncio.run(run())
    assert waited
    assert b"POST /x 2" in answer


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(port):
    async def run():
        started, release = [], asyncio.Event()

        async def hold_first(request):
            started.append(request.target)
            if request.target == "/first":
                await release.wait()
            else:
                release.set()
            return HttpAnswer(200, (), request.target.encode())

        listener = make_listener(hold_first)
        await listener.listen("127.0.0.1", port)
        first = b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await send(port, first, GET.replace(b"/x", b"/second") + b"\r\n")
        listener.stop_accepting()
        await listener.close()
        return started, answer

    started, answer = asyncio.run(run())
    assert started == ["/first", "/second"]
    assert answer.index(b"/first") < answer.index(b"/second")


@pytest.mark.parametrize(
    ("sent", "status_line"),
    [
        (b"", b""),
        (b"GET /x HTTP/1.1\r\nHo", b"HTTP/1.1 408"),
        (POST + b"Content-Length: 2\r\n\r\na", b"HTTP/1.1 408"),
    ],
    ids=["idle", "headers", "body"],
)
def test_slow_caller_gets_408_or_is_closed(port, sent, status_line):
    assert exchange(port, sent).startswith(status_line)


def test_closing_listener_closes_connection_after_last_answer(port):
    async def run():
        barrier = asyncio.Barrier(2)

        async def wait_for_both(request):
            await barrier.wait()
            return HttpAnswer(200, (), request.target.encode())

        listener = make_listener(wait_for_both)
        await listener.listen("127.0.0.1", port)
        listener.closing = True
        requests = [f"GET /{n} HTTP/1.1\r\nHost: a\r\n\r\n".encode() for n in "12"]
        answer = await send(port, *requests)
        listener.stop_accepting()
        await listener.close()
        return answer

    first, _, second = asyncio.run(run()).rpartition(b"HTTP/1.1 200")
    assert b"/1" in first and b"Connection: close" not in first
    assert b"/2" in second and b"Connection: close" in second


@pytest.mark.parametrize(
    "start, piece",
    [
        (b"1;", b"x" * 500),
        (b"0\r\n", b"A: b\r\n" * 50),
        (b"0\r\nA: ", b"x" * 500),
    ],
    ids=["chunk extension", "trailers", "trailer line"],
)
def test_endless_framing_of_a_caller_is_rejected(port, start, piece):
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    answer = exchange(port, head, start, *[piece] * 100)
    assert answer.split()[1] in (b"400", b"431"), answer


def test_body_of_small_chunks_is_accepted(port):
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"1\r\nx\r\n"
    parts = [chunk * 10] * 80
    answer = exchange(port, head, *parts, b"0\r\n\r\n")
    assert answer.endswith(b"POST /x 800")


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_refusal_of_an_unread_request_is_not_destroyed_by_its_later_bytes(port):
    """Closed with unread bytes, the connection is reset and the answer lost."""

    async def run():
        listener = make_listener()
        await listener.listen("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: 1000\r\n\r\na")
        await wait_until(lambda: listener._state.reading)
        refused = HttpAnswer(503, (), b"late")
        listener.refuse_unread(lambda request: refused)
        pending = listener.count_pending()
        closing = asyncio.create_task(listener.close(1.0))
        for _ in range(20):
            writer.write(b"b" * 10)
            await asyncio.sleep(0.005)
        answer = await reader.read()
        writer.close()
        await closing
        return pending.reading, answer

    reading, answer = asyncio.run(run())
    assert not reading
    assert answer.startswith(b"HTTP/1.1 503") and answer.endswith(b"late")
    assert b"Connection: close" in answer


def test_refusal_of_an_unread_request_follows_the_answer_before_it(port):
    """The first request was passed on and must not be cut by the second."""

    async def run():
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return HttpAnswer(200, (), b"first")

        listener = make_listener(hold)
        await listener.listen("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(POST + b"Content-Length: 2\r\n\r\na")
        await wait_until(lambda: listener._state.reading)
        listener.refuse_unread(lambda request: HttpAnswer(503, (), b"late"))
        closing = asyncio.create_task(listener.close(1.0))
        await asyncio.sleep(0.1)
        release.set()
        answer = await reader.read()
        writer.close()
        await closing
        return answer

    answer = asyncio.run(run())
    assert answer.index(b"first") < answer.index(b"late"), answer


def test_unread_request_that_may_still_be_read_is_not_refused(port):
    async def run():
        listener = make_listener()
        await listener.listen("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: 2\r\n\r\na")
        await wait_until(lambda: listener._state.reading)
        listener.refuse_unread(lambda request: None)
        writer.write(b"b")
        answer = await reader.read()
        writer.close()
        await listener.close()
        return answer

    assert b"POST /x 2" in asyncio.run(run())


def test_close_waits_for_a_last_answer_but_not_for_idle_connections(port):
    async def run():
        listener = make_listener()
        await listener.listen("127.0.0.1", port)
        _, idle = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET + b"\r\n")
        await reader.readuntil(b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        loop.call_later(0.2, writer.close)
        await listener.close(5.0)
        idle.close()
        return loop.time() - started_s

    assert 0.1 < asyncio.run(run()) < 1.0


def test_malformed_request_does_not_cut_the_one_before_it(port):
    """Its header timeout went on and closed the connection of a request at work."""

    async def run():
        async def work(request):
            await asyncio.sleep(3 * HEADER_TIMEOUT_S)
            return HttpAnswer(200, (), b"first")

        listener = make_listener(work)
        await listener.listen("127.0.0.1", port)
        first = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await send(port, first, b"GET /y HTTP/1.1\r\nbroken\r\n\r\n")
        listener.stop_accepting()
        await listener.close()
        return answer

    answer = asyncio.run(run())
    assert answer.index(b"first") < answer.index(b"400"), answer


@pytest.mark.parametrize("closing", [False, True])
def test_close_waits_until_a_long_answer_is_sent(port, closing):
    """Half of the answer was in the process when it ended."""
    size = 20_000_000

    async def run():
        async def answer_long(request):
            return HttpAnswer(200, (), b"a" * size)

        listener = make_listener(answer_long, idle_timeout_s=10.0)
        await listener.listen("127.0.0.1", port)
        listener.closing = closing
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        pending = listener.count_pending()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        finishing = asyncio.create_task(listener.close(5.0))
        await asyncio.sleep(0.2)
        waited = not finishing.done()
        body = await reader.readexactly(size)
        await finishing
        writer.close()
        return pending.unsent, waited, len(body), loop.time() - started_s

    unsent, waited, length, elapsed_s = asyncio.run(run())
    assert unsent and waited and length == size
    assert elapsed_s < 2.0


def make_bounded_listener(budget, bodies):
    async def answer(request):
        bodies.append(len(request.body))
        return HttpAnswer(200, (), b"ok")

    def reject(rejected):
        headers = (("Retry-After", str(rejected.retry_after_s)),)
        return HttpAnswer(rejected.status, headers, b"full")

    limits = HttpLimits(16 * 1024, 3.0, 15.0)
    return HttpListener(answer, lambda request: 2**30, reject, lambda: limits, budget)


async def open_listener(listener):
    await listener.listen("127.0.0.1", 0)
    return listener._server.sockets[0].getsockname()[1]


async def upload(port, size, chunked=False):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head, body = b"Content-Length: %d\r\n\r\n" % size, b"x" * size
    if chunked:
        head = b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
    with contextlib.suppress(ConnectionError):
        writer.write(POST + head + body)
        await writer.drain()
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return answer


@pytest.mark.parametrize("chunked", [False, True])
def test_uploads_together_stay_within_the_budget(chunked):
    """Uploads that were allowed one by one ended a node for its memory."""
    size, bodies = 6 * 2**20, []

    async def run():
        budget = MemoryBudget(20 * 2**20, 2**20)
        listener = make_bounded_listener(budget, bodies)
        port = await open_listener(listener)
        peaks = []

        async def watch():
            while True:
                peaks.append(budget.used_bytes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(watch())
        answers = await asyncio.gather(*(upload(port, size, chunked) for _ in range(8)))
        watching.cancel()
        alone = await upload(port, size, chunked)
        await asyncio.sleep(0.05)
        await listener.close()
        return answers, alone, max(peaks), budget.used_bytes

    answers, alone, peak, left = asyncio.run(run())
    statuses = [answer.split()[1] for answer in answers]
    assert (
        set(statuses) == {b"200", b"503"} and len(bodies) == statuses.count(b"200") + 1
    )
    assert all(b"Retry-After" in a for a in answers if a.split()[1] == b"503")
    assert alone.split()[1] == b"200"
    assert peak <= 20 * 2**20 and left == 0


def test_slow_upload_does_not_keep_memory_from_others(monkeypatch):
    """One client that declared a large body, and sent none, refused all others."""
    monkeypatch.setattr(_http_connection, "RESERVATION_S", 0.2)
    size, bodies = 8 * 2**20, []

    async def run():
        listener = make_bounded_listener(MemoryBudget(10 * 2**20, 2**20), bodies)
        port = await open_listener(listener)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: %d\r\n\r\nx" % size)
        await wait_until(lambda: listener._state.reading)
        first = await upload(port, size)
        await asyncio.sleep(0.3)
        second = await upload(port, size)
        writer.close()
        await listener.close()
        return first, second

    first, second = asyncio.run(run())
    assert (first.split()[1], second.split()[1]) == (b"503", b"200")


def test_small_requests_are_taken_beside_a_large_upload():
    async def run():
        bodies = []
        listener = make_bounded_listener(MemoryBudget(10 * 2**20, 2**20), bodies)
        port = await open_listener(listener)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Content-Length: %d\r\n\r\nx" % (8 * 2**20))
        await wait_until(lambda: listener._state.reading)
        answers = [await upload(port, 100_000) for _ in range(5)]
        writer.close()
        await listener.close()
        return answers

    assert {answer.split()[1] for answer in asyncio.run(run())} == {b"200"}


def test_body_that_can_never_fit_is_too_large():
    async def run():
        listener = make_bounded_listener(MemoryBudget(10 * 2**20), [])
        port = await open_listener(listener)
        answer = await upload(port, 11 * 2**20)
        await listener.close()
        return answer

    assert asyncio.run(run()).split()[1] == b"413"


def test_refused_upload_gets_its_answer_once_it_has_sent_everything():
    """The answer was lost in a reset while the caller still sent its body."""

    async def run():
        listener = make_bounded_listener(MemoryBudget(64_000), [])
        port = await open_listener(listener)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(POST + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(30):
            writer.write(b"2800\r\n" + b"x" * 0x2800 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.08)
        answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        await listener.close()
        return answer

    assert asyncio.run(run()).split()[1] == b"413"


def test_memory_of_a_request_with_trailers_is_given_back_with_its_answer():
    async def run():
        budget = MemoryBudget(10 * 2**20)
        listener = make_bounded_listener(budget, [])
        port = await open_listener(listener)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"1\r\nx\r\n0\r\nA: b\r\n\r\n")
        await reader.readuntil(b"\r\n\r\nok")
        kept = budget.used_bytes
        writer.close()
        await listener.close()
        return kept

    assert asyncio.run(run()) == 0


def test_caller_that_reads_nothing_is_not_sent_answers_without_end(port):
    # Guards against memory for answers that nobody reads, and their connections.
    async def answer_long(request):
        return HttpAnswer(200, (), bytes(ANSWER_BYTES))

    async def run():
        listener = make_listener(answer_long)
        await listener.listen("127.0.0.1", port)
        unread = socket.create_connection(("127.0.0.1", port))
        unread.setblocking(False)
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        with contextlib.suppress(BlockingIOError):
            for _ in range(2000):
                unread.send(request)
        await asyncio.sleep(IDLE_TIMEOUT_S / 2)
        assert listener.answer_count <= 2 * _http_connection.PIPELINED_MAX
        connection = next(iter(listener._state.connections))
        assert connection.is_sending
        async with asyncio.timeout(10 * IDLE_TIMEOUT_S):
            while listener._state.connections:
                await asyncio.sleep(0.02)
        unread.close()
        await listener.close()

    asyncio.run(run())


def test_refused_or_idle_connection_keeps_no_headers(port):
    # Guards against heads that a connection keeps after the budget got them back.
    async def run():
        listener = make_listener(idle_timeout_s=30.0)
        await listener.listen("127.0.0.1", port)
        lines = b"a:\r\n" * 100
        whole = b"GET /x HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n"
        endless = b"GET /x HTTP/1.1\r\nHost: a\r\n" + lines * 10
        opened = []
        for sent in (whole, endless):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            await reader.readuntil(b"\r\n\r\n")
            opened.append(writer)
        assert len(listener._state.connections) == 2
        assert [c._headers for c in listener._state.connections] == [[], []]
        assert listener._state.budget.used_bytes == 0
        for writer in opened:
            writer.close()
        await listener.close()

    asyncio.run(run())
