"""A TCP proxy that can delay, block, silence and reset its connections."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 64 * 1024
TO_SERVER, TO_CLIENT = "to server", "to client"
LINGER_RESET = struct.pack("ii", 1, 0)  # close sends RST instead of FIN


class Proxy:
    """Forwards connections to another port of the same host.

    Parameters
    ----------
    host : str
        Loopback address to listen on, and to connect to.
    port : int
        Port to listen on; 0 selects a free port.
    target_port : int
        Port to connect to.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk.
    blocked : set of str
        Directions in which nothing is forwarded; data is kept until they are unblocked.
    """

    __slots__ = (
        "_host",
        "_port",
        "_server",
        "_silent",
        "_target_port",
        "_tasks",
        "_writers",
        "blocked",
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
        self.blocked = set()
        self.delay_s = 0.0

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    def silence(self) -> None:
        """Forward nothing any more on the connections that are open now."""
        self._silent |= self._writers

    def heal(self) -> None:
        """End delays and blocks; silenced connections stay silent."""
        self.delay_s = 0.0
        self.blocked.clear()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            to_server = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            # As if the client had connected to a port without a listener.
            self._writers.add(writer)
            self._abort(writer)
            return
        finally:
            self._tasks.discard(asyncio.current_task())
        forwarders = [
            asyncio.create_task(self._forward(reader, to_server[1], TO_SERVER)),
            asyncio.create_task(self._forward(to_server[0], writer, TO_CLIENT)),
        ]
        self._tasks.update(forwarders)
        await asyncio.wait(forwarders)
        self._tasks.difference_update(forwarders)

    def _abort(self, writer):
        writer.transport.abort()
        self._writers.discard(writer)

    async def _forward(self, reader, writer, direction):
        self._writers.add(writer)
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.blocked or writer in self._silent:
                    await asyncio.sleep(0.02)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except OSError:
            self._abort(writer)
        finally:
            self._silent.discard(writer)
            self._writers.discard(writer)
