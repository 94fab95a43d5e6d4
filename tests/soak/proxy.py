"""A loopback proxy whose connections can be delayed, cut, silenced and reset."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 64 * 1024
TO_SERVER, TO_CLIENT = "to server", "to client"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    host : str
        Loopback address to listen on, and to connect to.
    port : int
        Where to listen; 0 takes a free port.
    target_port : int
        Where to connect.

    Attributes
    ----------
    delay_s : float
        How long each chunk is held up.
    cut : set of str
        Directions in which nothing passes; what comes meanwhile is kept.
    """

    __slots__ = (
        "_host",
        "_port",
        "_server",
        "_silent",
        "_target_port",
        "_tasks",
        "_writers",
        "cut",
        "delay_s",
    )

    def __init__(self, host: str, port: int, target_port: int):
        self._host = host
        self._port = port
        self._server = None
        self._silent = set()
        self._target_port = target_port
        self._tasks = set()
        self._writers = set()
        self.cut = set()
        self.delay_s = 0.0

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        """Drop everything."""
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                opened = writer.get_extra_info("socket")
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def silence(self) -> None:
        """Let nothing pass on the connections that are open now, for good."""
        self._silent |= self._writers

    def heal(self) -> None:
        """Pass everything on at once again, but on silenced connections."""
        self.delay_s = 0.0
        self.cut.clear()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            to_server = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            # A port without a listener resets the connection.
            self._writers.add(writer)
            self._abort(writer)
            return
        finally:
            self._tasks.discard(asyncio.current_task())
        pumps = [
            asyncio.create_task(self._pump(reader, to_server[1], TO_SERVER)),
            asyncio.create_task(self._pump(to_server[0], writer, TO_CLIENT)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps)
        self._tasks.difference_update(pumps)

    def _abort(self, writer):
        writer.transport.abort()
        self._writers.discard(writer)

    async def _pump(self, reader, writer, direction):
        self._writers.add(writer)
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.cut or writer in self._silent:
                    await asyncio.sleep(0.02)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except OSError:
            self._abort(writer)
        finally:
            self._silent.discard(writer)
            self._writers.discard(writer)
