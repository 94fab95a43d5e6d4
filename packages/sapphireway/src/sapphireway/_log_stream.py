"""Standard output for logs: a reader that is slow or gone holds up nobody."""

import os


class LogStream:
    """Writes whole lines to a descriptor without ever waiting for its reader.

    A line that does not fit is dropped and counted; the end of one that was written
    in part goes first as soon as there is room.

    Parameters
    ----------
    fd : int

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    __slots__ = ("_fd", "_rest", "dropped")

    def __init__(self, fd: int):
        self._fd = fd
        self._rest = b""
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> None:
        """Write one line, or drop it."""
        if self._rest and not self._write_rest():
            self.dropped += 1
            return
        data = text.encode(errors="replace")
        try:
            written = os.write(self._fd, data)
        except OSError:
            # Full, or the reader has gone; either way nobody can be told here.
            self.dropped += 1
            return
        self._rest = data[written:]

    def flush(self) -> None:
        """Do nothing: nothing is held back that could be written."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""

    def _write_rest(self):
        try:
            written = os.write(self._fd, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest
