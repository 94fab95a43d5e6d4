import os

import pytest

from sapphireway._log_stream import LogStream

LINE = "x" * 999 + "\n"


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    for fd in (reading, writing):
        try:
            os.close(fd)
        except OSError:
            pass


def read_all(fd):
    os.set_blocking(fd, False)
    parts = []
    while True:
        try:
            part = os.read(fd, 65_536)
        except BlockingIOError:
            return b"".join(parts).decode()
        if not part:
            return b"".join(parts).decode()
        parts.append(part)


def test_write_does_not_block_on_stalled_reader(pipe):
    reading, writing = pipe
    stream = LogStream(writing)
    for _ in range(1000):
        stream.write(LINE)
    assert stream.dropped > 0
    first = read_all(reading)
    stream.write("after\n")
    # The partially written line is completed before the next one.
    lines = (first + read_all(reading)).splitlines()
    assert set(lines[:-1]) == {LINE.rstrip()}
    assert lines[-1] == "after"


def test_line_is_dropped_when_reader_is_closed(pipe):
    reading, writing = pipe
    stream = LogStream(writing)
    os.close(reading)
    stream.write(LINE)
    assert stream.dropped == 1
