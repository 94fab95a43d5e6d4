"""Heads with a malformed line at the client: no answer, and no other request harmed.

Callers got such lines passed on, or a body whose framing the line had hidden.
"""

import asyncio
import string

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from tests.malformed import make_settings

from sapphireway_transport import Broken, CurlServerClient, Responded, ServerRequest
from sapphireway_transport._curl import _CONNECTION_HEADERS

BODY = b"some text of a server"
CHUNKS = b"9\r\nsome text\r\nc\r\n of a server\r\n0\r\n\r\n"
FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "chunks": (b"Transfer-Encoding: chunked\r\n", CHUNKS),
    "close": (b"", BODY),
}
OK = b"HTTP/1.1 200 OK"
UPLOAD_SIZES = (3_000, 300_000)
PIECE_INTERVAL_S = 0.002  # so that each piece is read by itself
TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~" + string.digits + string.ascii_letters

MALFORMED_FIELDS = {
    "blank in a name": b"X A: 1",
    "tab in a name": b"X\tA: 1",
    "SOH in a name": b"X\x01A: 1",
    "VT in a name": b"X\x0bA: 1",
    "FF in a name": b"X\x0cA: 1",
    "ESC in a name": b"X\x1bA: 1",
    "FS in a name": b"X\x1cA: 1",
    "DEL in a name": b"X\x7fA: 1",
    "85 in a name": b"X\x85A: 1",
    "a0 in a name": b"X\xa0A: 1",
    "letter above 7f in a name": b"X\xe9A: 1",
    "parenthesis in a name": b"X(A): 1",
    "slash in a name": b"X/A: 1",
    "no name": b": 1",
    "only a blank as the name": b" : 1",
    "blank before the colon": b"X-A : 1",
    "tab before the colon": b"X-A\t: 1",
    "blank in the name of the length": b"Content Length: 3",
    "blank before the colon of the length": b"Content-Length : 3",
    "VT before the colon of the length": b"Content-Length\x0b: 3",
    "blank before the colon of the coding": b"Transfer-Encoding : chunked",
    "tab before the colon of the coding": b"Transfer-Encoding\t: chunked",
    "blank before the colon of the id": b"Attempt : 7",
    "no colon": b"X-A",
    "only CR": b"\r",
    "NUL in a name": b"X\0A: 1",
    "NUL in a value": b"X-A: 1\0",
    "CR in a value": b"X-A: 1\r2",
    "SOH in a value": b"X-A: 1\x012",
    "FS at the end of a value": b"X-A: 1\x1c",
    "DEL in a value": b"X-A: 1\x7f",
}
VALID_FIELDS = {
    "all token characters": (TOKEN_CHARACTERS.encode(), b"1"),
    "digits as the name": (b"42", b"1"),
    "tab in a value": (b"X-A", b"1\t2"),
    "letter above 7f in a value": (b"X-A", b"\xe9t\xe9"),
    "UTF-8 in a value": (b"X-A", "caf\u00e9 \u2713".encode()),
    "no value": (b"X-A", b""),
    "colons in a value": (b"X-A", b"a:b : c:"),
    "long value": (b"X-A", b"x" * 20_000),
}

MALFORMED_STATUS_LINES = {
    "four digits": b"HTTP/1.1 2000 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "no blank after the status": b"HTTP/1.1 200OK",
    "tab after the status": b"HTTP/1.1 200\tOK",
    "two blanks before the status": b"HTTP/1.1  200 OK",
    "tab before the status": b"HTTP/1.1\t200 OK",
    "sign": b"HTTP/1.1 +20 OK",
    "no status": b"HTTP/1.1 OK",
    "version of another protocol": b"HTTP/2.0 200 OK",
    "version without a minor one": b"HTTP/2 200 OK",
    "unknown minor version": b"HTTP/1.2 200 OK",
    "lower case": b"http/1.1 200 OK",
    "other name": b"ICY 200 OK",
    "SOH in the reason": b"HTTP/1.1 200 O\x01K",
    "DEL in the reason": b"HTTP/1.1 200 O\x7fK",
    "CR in the reason": b"HTTP/1.1 200 O\rK",
    "NUL in the reason": b"HTTP/1.1 200 O\0K",
}
VALID_STATUS_LINES = {
    "no reason": b"HTTP/1.1 200",
    "empty reason": b"HTTP/1.1 200 ",
    "letter above 7f in the reason": b"HTTP/1.1 200 d\xe9j\xe0",
    "tab in the reason": b"HTTP/1.1 200 O\tK",
    "status in the reason": b"HTTP/1.1 200 404 2000",
    "HTTP/1.0": b"HTTP/1.0 200 OK",
}


def make_answer(line, framing, status_line=OK, *, first=False, end=b"\r\n"):
    """Return an answer, with `line` as the first one after the status line or later."""
    framing_line, body = FRAMINGS[framing]
    lines = [b"Attempt: 1", line] if line else [b"Attempt: 1"]
    if first:
        lines.reverse()
    head = b"".join(each + end for each in (status_line, *lines))
    return head + framing_line.replace(b"\r\n", end) + end + body


class HeadServer:
    """Sends an answer from a list to each request; the last one to all that follow.

    Connections stay open, unless the connection delimits the answer. An answer that is
    a list of pieces is sent piece by piece.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.paths = []
        self.connections = 0
        self.ended = 0  # connections
        self.answers_early = False  # before the body of a request is read
        self._writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.client = CurlServerClient()
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self._server.close()
        for writer in self._writers:
            writer.close()
        closing = (writer.wait_closed() for writer in self._writers)
        await asyncio.gather(*closing, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                method, path, _ = head.split(" ", 2)
                self.paths.append(path)
                _, _, length = head.partition("content-length: ")
                if not self.answers_early:
                    await reader.readexactly(int(length.split("\r\n")[0] or 0))
                is_last = len(self.answers) == 1
                answer = self.answers[0] if is_last else self.answers.pop(0)
                if isinstance(answer, list):
                    for piece in answer[:-1]:
                        writer.write(piece)
                        await asyncio.sleep(PIECE_INTERVAL_S)
                    answer = answer[-1]
                if method == "head":
                    answer = answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
                writer.write(answer)
                while self.answers_early and await reader.read(65536):
                    pass
                if FRAMINGS["length"][0] not in answer and CHUNKS not in answer:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended += 1
            writer.close()

    async def send(self, method="GET", path="/a", body=b"", echoes=True):
        host, port = self._server.sockets[0].getsockname()
        echo = ("Attempt", "1")
        headers = (echo,) if echoes else ()
        return await self.client.send(
            ServerRequest(
                f"http://{host}:{port}{path}",
                method,
                headers,
                body,
                2.0,
                100_000,
                echo if echoes else None,
                True,
                lambda answer: True,
            )
        )

    async def wait_for_end(self):
        """Wait until a connection has ended."""
        async with asyncio.timeout(2.0):
            while not self.ended:
                await asyncio.sleep(0.001)


WHOLE = make_answer(b"", "length")
REQUESTS = [("GET", b""), ("HEAD", b"")]
REQUESTS += [("POST", bytes(size)) for size in UPLOAD_SIZES]


async def check_is_no_answer(answer, detail="", requests=REQUESTS):
    """Send requests that get `answer`, each on a new and on a used connection."""
    for method, body in requests:
        for reused in (False, True):
            before = [WHOLE] if reused else []
            async with HeadServer(*before, answer, WHOLE) as server:
                if reused:
                    # A request without an id leaves that of the next one unused.
                    first = await server.send(path="/before", echoes=False)
                    assert first == Responded(200, (("Attempt", "1"),), BODY)
                result = await server.send(method, "/malformed", body)
                assert isinstance(result, Broken), (method, reused, result)
                assert not result.timed_out and not result.disconnected, result
                assert detail in result.detail, result
                await server.wait_for_end()
                after = await server.send(path="/after", echoes=False)
                assert isinstance(after, Responded) and after.body == BODY
                # Neither sent again nor followed by another on its connection.
                assert server.paths == ["/before"] * reused + ["/malformed", "/after"]
                assert server.connections == 2


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", MALFORMED_FIELDS)
def test_malformed_field_line_is_no_answer(name, framing):
    """The lines were passed on; a hidden coding left the chunks as the body."""
    for first in (False, True):
        answer = make_answer(MALFORMED_FIELDS[name], framing, first=first)
        asyncio.run(check_is_no_answer(answer))


@pytest.mark.parametrize("first", [b" X: 1", b"\tX: 1", b" X", b" "])
def test_blank_before_the_first_field_is_no_answer(first):
    """No line is there that it could continue."""
    answer = make_answer(first, "length", first=True)
    asyncio.run(check_is_no_answer(answer))


@pytest.mark.parametrize(
    "line", [b"X A: 1", b"X-A : 1", b"X-A: 1\r\n 2"], ids=["name", "colon", "continued"]
)
@pytest.mark.parametrize("size", [3_000, 20_000_000])
def test_malformed_answer_before_the_end_of_an_upload_is_no_answer(size, line):
    async def upload():
        async with HeadServer(make_answer(line, "length")) as server:
            server.answers_early = True
            result = await server.send("POST", "/malformed", bytes(size))
            await server.wait_for_end()
            return result, server.paths

    result, paths = asyncio.run(upload())
    assert isinstance(result, Broken) and "malformed answer" in result.detail, result
    assert paths == ["/malformed"]


def test_malformed_field_line_of_a_refusal_is_no_refusal():
    answer = make_answer(
        b"Not-Run: 1\r\nX A: 1", "length", b"HTTP/1.1 503 Service Unavailable"
    )
    asyncio.run(check_is_no_answer(answer, "0x20 in a field name, after 'X'"))


@pytest.mark.parametrize("line", [b"X A: 1", b"X\x01: 1", b"Link : a", b": 1"])
def test_malformed_field_line_of_an_interim_answer_is_no_answer(line):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: b\r\n" + line + b"\r\n\r\n"
    asyncio.run(check_is_no_answer(interim + WHOLE, "field name"))


@pytest.mark.parametrize(
    ("line", "detail"),
    [
        (b"X-A\x01B: 1", "line 3 of its head: 0x01 in a field name, after 'X-A'"),
        (b"X-A: secret\x02", "line 3 of its head: 0x02 in the value of X-A"),
        (b": 1", "line 3 of its head: an empty field name"),
    ],
)
def test_malformed_field_line_is_named_without_its_value(line, detail):
    answer = make_answer(line, "length")
    asyncio.run(check_is_no_answer(answer, detail, REQUESTS[:1]))


CONTINUATIONS = {
    "blank": b"X-A: 1\r\n 2",
    "tab": b"X-A: 1\r\n\t2",
    "of an empty value": b"X-A:\r\n 1",
    "of blanks alone": b"X-A: 1\r\n  \t",
    "LF alone": b"X-A: 1\n 2",
    "two": b"X-A: 1\r\n 2\r\n 3",
    "blank before a name": b"X-A: 1\r\n X-B: 2",
    "blank before the length": b"X-A: 1\r\n Content-Length: 3",
    "blank before the coding": b"X-A: 1\r\n Transfer-Encoding: chunked",
    "length": b"Content-Length:\r\n 21",
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", CONTINUATIONS)
def test_continuation_line_is_no_answer(name, framing):
    """The line became part of the field before, or hid the framing of the body."""
    answer = make_answer(CONTINUATIONS[name], framing)
    asyncio.run(check_is_no_answer(answer, "its head has a continuation line"))


def test_continuation_line_of_an_interim_answer_is_no_answer():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: b\r\n c\r\n\r\n"
    detail = "its head has a continuation line"
    asyncio.run(check_is_no_answer(interim + WHOLE, detail))
    # One after a sound interim answer.
    sound = b"HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\n"
    answer = sound * 2 + make_answer(b"X-A: 1\r\n 2", "length")
    requests = [each for each in REQUESTS if each[0] != "HEAD"]
    asyncio.run(check_is_no_answer(answer, detail, requests))


def cut(answer, positions):
    """Return the pieces of an answer between sorted positions."""
    ends = [*positions, len(answer)]
    pieces = [answer[begin:end] for begin, end in zip([0, *ends], ends, strict=False)]
    return [piece for piece in pieces if piece]


def exchange_pieces(pieces):
    async def exchange():
        # Connections stay open, as the last piece may hold no framing.
        async with HeadServer(pieces) as server:
            return await server.send()

    return asyncio.run(exchange())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_continuation_line_is_no_answer_wherever_the_head_is_cut(framing):
    answer = make_answer(b"X-A: 1\r\n 2", framing)
    for position in range(1, answer.index(b"\r\n\r\n") + 4):
        result = exchange_pieces(cut(answer, [position]))
        assert isinstance(result, Broken), (position, result)
    lines = answer.replace(b"\r\n", b"\r\n|").split(b"|")
    assert isinstance(exchange_pieces(lines), Broken)
    end = answer.index(b"\r\n\r\n")
    assert isinstance(exchange_pieces(cut(answer, range(1, end))), Broken)


BLANK_BODY = b" \r\n x\n\n y\r\n\tz: 1"


@make_settings(120)
@given(st.data(), st.sampled_from([b"\r\n", b"\n"]), st.booleans())
def test_body_that_begins_lines_with_blanks_is_passed_on(data, end, has_interim):
    """No line of a body is taken for one of the head, wherever the answer is cut."""
    lines = [b"HTTP/1.1 103 Early Hints", b"Link: a", b""] * has_interim
    lines += [OK, b"Attempt: 1", b"Content-Length: %d" % len(BLANK_BODY), b"", b""]
    answer = end.join(lines) + BLANK_BODY
    positions = st.lists(st.integers(1, len(answer) - 1), max_size=4).map(sorted)
    result = exchange_pieces(cut(answer, data.draw(positions)))
    assert result == Responded(200, (("Attempt", "1"),), BLANK_BODY)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", MALFORMED_STATUS_LINES)
def test_malformed_status_line_is_no_answer(name, framing):
    """A status of four digits was passed on as its first three."""
    answer = make_answer(b"X-A: 1", framing, MALFORMED_STATUS_LINES[name])
    asyncio.run(check_is_no_answer(answer))


@pytest.mark.parametrize(
    "line", [b"HTTP/1.1 1030 Hints", b"HTTP/1.1 103 H\x01", b"HTTP/2.0 103 Hints"]
)
def test_malformed_status_line_of_an_interim_answer_is_no_answer(line):
    interim = line + b"\r\nLink: a\r\n\r\n"
    asyncio.run(check_is_no_answer(interim + WHOLE))


def test_malformed_status_line_is_named():
    answer = make_answer(b"X-A: 1", "length", b"HTTP/1.1 2000 OK")
    detail = "line 1 of its head: no status line of HTTP/1.0 or 1.1"
    asyncio.run(check_is_no_answer(answer, detail, REQUESTS[:1]))


CHUNKED_LINE = FRAMINGS["chunks"][0]
AMBIGUOUS_FRAMINGS = {
    "length before the chunks": FRAMINGS["length"][0] + CHUNKED_LINE,
    "length after the chunks": CHUNKED_LINE + FRAMINGS["length"][0],
    "length of zero": CHUNKED_LINE + b"Content-Length: 0\r\n",
    "chunks in two lines": CHUNKED_LINE * 2,
    "chunks twice in a line": b"Transfer-Encoding: chunked, Chunked\r\n",
    "chunks, other, chunks": CHUNKED_LINE + b"Transfer-Encoding: identity, chunked\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS_FRAMINGS)
def test_answer_with_an_ambiguous_end_is_no_answer(name):
    """It was read as chunks, whatever the server meant by the other line."""
    head = OK + b"\r\nAttempt: 1\r\n" + AMBIGUOUS_FRAMINGS[name]
    asyncio.run(check_is_no_answer(head + b"\r\n" + CHUNKS))


@pytest.mark.parametrize("name", ["length before the chunks", "chunks in two lines"])
def test_answer_with_an_ambiguous_end_is_named(name):
    head = OK + b"\r\nAttempt: 1\r\n" + AMBIGUOUS_FRAMINGS[name]
    detail = "malformed answer: its head names more than one end of the body"
    answer = head + b"\r\n" + CHUNKS
    asyncio.run(check_is_no_answer(answer, detail, REQUESTS[:1]))


@pytest.mark.parametrize(
    "head",
    [
        FRAMINGS["length"][0] * 2,
        b"Content-Length: %d, %d\r\n" % (len(BODY), len(BODY)),
        b"Content-Length: \t%d \r\n" % len(BODY),
    ],
)
def test_answer_that_names_its_length_twice_is_an_answer(head):
    answer = OK + b"\r\n" + head + b"\r\n" + BODY
    asyncio.run(check_is_answer(answer, [], ("GET", "POST")))


async def check_is_answer(answer, headers, methods=("GET", "HEAD", "POST")):
    for method in methods:
        async with HeadServer(answer) as server:
            for _ in range(2):
                result = await server.send(method, echoes=False)
                assert isinstance(result, Responded), result
                assert [
                    each for each in result.headers if each[0] != "Content-Length"
                ] == headers
                assert result.body == (b"" if method == "HEAD" else BODY)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("field", VALID_FIELDS)
def test_valid_odd_field_line_is_an_answer(field, framing):
    name, value = VALID_FIELDS[field]
    for line in (name + b": " + value, name + b":" + value, name + b":\t" + value):
        answer = make_answer(line, framing)
        fields = [("Attempt", "1"), (name.decode(), value.decode("latin-1"))]
        asyncio.run(check_is_answer(answer, fields))


@pytest.mark.parametrize("name", VALID_STATUS_LINES)
def test_valid_odd_status_line_is_an_answer(name):
    answer = make_answer(b"X-A: 1", "length", VALID_STATUS_LINES[name])
    asyncio.run(check_is_answer(answer, [("Attempt", "1"), ("X-A", "1")]))


@pytest.mark.parametrize("framing", FRAMINGS)
def test_lines_that_end_with_lf_alone_are_an_answer(framing):
    answer = make_answer(b"X-A: 1", framing, end=b"\n")
    fields = [("Attempt", "1"), ("X-A", "1")]
    asyncio.run(check_is_answer(answer, fields, ("GET", "POST")))


def is_well_formed(line):
    """Tell by RFC 9110, byte by byte, whether a line is a field line."""
    name, colon, value = line.partition(b":")
    return (
        bool(colon and name)
        and all(chr(byte) in TOKEN_CHARACTERS for byte in name)
        and all(byte == 0x09 or 0x20 <= byte != 0x7F for byte in value)
    )


NAME_BYTES = st.sampled_from([bytes([byte]) for byte in range(256) if byte != 0x0A])
FIELD_LINES = st.one_of(
    st.binary(min_size=1, max_size=12),
    st.builds(
        lambda begin, odd, end, value: b"X" + begin + odd + end + b": " + value,
        st.sampled_from([b"", b"-A"]),
        st.one_of(st.just(b""), NAME_BYTES),
        st.sampled_from([b"", b"B"]),
        st.sampled_from([b"", b"1"]),
    ),
    st.builds(
        lambda begin, odd, end: b"X-A:" + begin + odd + end,
        st.sampled_from([b"", b" ", b" 1"]),
        st.one_of(st.just(b""), NAME_BYTES),
        st.sampled_from([b"", b"2"]),
    ),
)


def is_passed_on(line):
    """Tell whether a valid line is one whole line and a field of the answer."""
    name = line.partition(b":")[0].decode("latin-1").lower()
    return (
        b"\n" not in line
        and line[:1] not in (b" ", b"\t", b"\r")
        and name not in _CONNECTION_HEADERS
    )


@make_settings(400)
@given(FIELD_LINES.filter(is_passed_on))
@example(b"X-A: 1\xa0")
@example(b"X-A: 1\x85")
@example(b"X-A: 1\x1f")
def test_any_line_is_a_valid_field_or_no_answer(line):
    """Both ways: no malformed line is passed on, and no valid one refused."""

    async def exchange():
        async with HeadServer(make_answer(line, "length")) as server:
            return await server.send()

    result = asyncio.run(exchange())
    if is_well_formed(line):
        name, _, value = line.decode("latin-1").partition(":")
        assert result == Responded(
            200, (("Attempt", "1"), (name, value.strip(" \t"))), BODY
        )
    else:
        assert isinstance(result, Broken), result


STATUS_LINES = st.builds(
    lambda *parts: b"".join(parts),
    st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b"HTTP/1.", b"HTTP/11"]),
    st.sampled_from([b" ", b" ", b"  ", b"\t", b""]),
    st.sampled_from([b"200", b"404", b"2000", b"20", b"600", b"000", b"2 0", b"-20"]),
    st.sampled_from([b" ", b" ", b"", b"\t", b"x", b"0"]),
    st.binary(max_size=3).filter(lambda reason: b"\n" not in reason),
)


def is_status_line(line):
    """Tell by RFC 9112, byte by byte, whether a line is the status line of an answer.

    A blank after the status may be missing where the reason is.
    """
    version, status, reason = line[:9], line[9:12], line[12:]
    return (
        version in (b"HTTP/1.0 ", b"HTTP/1.1 ")
        and len(status) == 3
        and status.isdigit()
        and 200 <= int(status) <= 599
        and (not reason or reason.startswith(b" "))
        and all(byte == 0x09 or 0x20 <= byte != 0x7F for byte in reason)
    )


@make_settings(300)
@given(STATUS_LINES)
@example(b"HTTP/1.1 200 \x85")
@example(b"HTTP/1.1 200\xa0")
def test_any_status_line_is_a_valid_one_or_no_answer(line):
    async def exchange():
        answer = make_answer(b"", "length", line)
        async with HeadServer(answer) as server:
            return await server.send()

    result = asyncio.run(exchange())
    if is_status_line(line):
        assert result == Responded(int(line[9:12]), (("Attempt", "1"),), BODY)
    else:
        assert isinstance(result, Broken), result
