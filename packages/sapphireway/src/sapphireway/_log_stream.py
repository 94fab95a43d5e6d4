"""Non-blocking log output that tolerates a slow or closed reader."""

import os


class LogStream:
    """Writes lines to a file descriptor without waiting for its reader.

    A line that does not fit is dropped and counted. The rest of a partially written
    line is written first as soon as there is room.

    Parameters
    ----------
    fd : int

    Attributes
    ----------
    dropped : int
        Number of lines dropped.
    """

    __slots__ = ("_fd", "_unwritten", "dropped")

    def __init__(self, fd: int):
        self._fd = fd
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> None:
        """Write one line, or drop it if the descriptor is not writable."""
        if self._unwritten and not self._flush_unwritten():
            self.dropped += 1
            return
        data = text.encode(errors="replace")
        try:
            written = os.write(self._fd, data)
        except OSError:
            # The buffer is full or the reader closed; neither can be logged here.
            self.dropped += 1
            return
        self._unwritten = data[written:]

    def flush(self) -> None:
        """Do nothing: `write` already wrote all that the descriptor took."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""

    def _flush_unwritten(self):
        try:
            written = os.write(self._fd, self._unwritten)
        except OSError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten
