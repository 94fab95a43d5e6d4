"""Continuation lines in the head of an answer, which libcurl hides.

libcurl joins a continuation line to the line before, so that neither its lines nor its
callbacks show one. RFC 9112, section 5.2, lets a gateway do so or discard the answer.
Joined, a line that only begins with a blank by mistake becomes part of another field.
"""

import re
import socket

_LINE_BEGIN = re.compile(rb"\n(?:[ \t]|(\r?\n))")
_BLANK_LINE = re.compile(rb"\r?\n")
_INTERIM_HEAD = re.compile(rb"HTTP/1\.[01] 1\d\d[ \r\n]")


class ContinuationFinder:
    """Looks for continuation lines in the bytes that libcurl reads next.

    Bytes that libcurl has read before they were looked at are passed over: it reads
    once right after it has sent a request. A continuation line that has arrived by then
    stays joined.
    """

    __slots__ = ("_last_line", "_seen_bytes")

    def __init__(self):
        self._last_line = b""
        self._seen_bytes = 0

    def search(self, data: memoryview, passed_on_bytes: int) -> bool:
        """Return whether the next bytes of a head have a continuation line.

        Parameters
        ----------
        data : memoryview
            From the first byte that libcurl has not read.
        passed_on_bytes : int
            Bytes of the heads that libcurl has passed on. It holds back the last line
            until it has read the byte after it.
        """
        # Otherwise libcurl has read more than was seen here.
        knows_begin = self._seen_bytes - passed_on_bytes == len(self._last_line)
        self._seen_bytes += len(data)
        text = data
        if knows_begin and self._last_line:
            text = self._last_line + bytes(data)
        self._last_line = b""
        # Without what comes before, it may be the end of a line.
        if _BLANK_LINE.match(text):
            return False
        begin = 0
        while match := _LINE_BEGIN.search(text, begin):
            if match[1] is None:
                return True
            if not _INTERIM_HEAD.match(text, begin):
                return False  # the end of the final head
            begin = match.end()
        self._last_line = _cut_last_line(bytes(text))
        return False


def peek(fd: int, buffer: bytearray) -> memoryview:
    """Return what a socket has received, as far as `buffer` holds it, and keep it."""
    # With a family and a type, the object asks the kernel for neither.
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fd)
    try:
        size = view.recv_into(buffer, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:  # libcurl reports it
        size = 0
    finally:
        view.detach()
    return memoryview(buffer)[:size]


def _cut_last_line(text):
    return text[text.rfind(b"\n", 0, max(0, len(text) - 1)) + 1 :]
