import asyncio

import pytest

from tests.soak.proxy import TO_CLIENT, TO_SERVER, Proxy

HOST = "127.0.0.1"
EXCHANGE_TIMEOUT_S = 0.2


def with_echo_server(test):
    """Run a test with a proxy in front of an echo server."""

    async def serve(reader, writer):
        while chunk := await reader.read(1000):
            writer.write(chunk)
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, HOST, 0)
        target = server.sockets[0].getsockname()[1]
        proxy = Proxy(HOST, 0, target)
        await proxy.open()
        try:
            await test(proxy)
        finally:
            await proxy.close()
            server.close()

    def run():
        asyncio.run(main())

    run.__name__ = test.__name__
    return run


async def echo(reader, writer, content=b"x"):
    writer.write(content)
    async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
        return await reader.readexactly(len(content))


@with_echo_server
async def test_proxy_forwards_bytes_and_end_of_stream(proxy):
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    assert await echo(reader, writer, b"hours") == b"hours"
    writer.write_eof()
    assert await reader.read() == b""


@pytest.mark.parametrize("direction", [TO_SERVER, TO_CLIENT])
def test_blocked_proxy_delivers_data_after_heal(direction):
    async def check(proxy):
        reader, writer = await asyncio.open_connection(HOST, proxy.port)
        proxy.blocked.add(direction)
        with pytest.raises(TimeoutError):
            await echo(reader, writer)
        proxy.heal()
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            assert await reader.readexactly(1) == b"x"

    with_echo_server(check)()


@with_echo_server
async def test_silenced_connections_stay_silent_and_new_ones_work(proxy):
    silent = await asyncio.open_connection(HOST, proxy.port)
    assert await echo(*silent) == b"x"
    proxy.silence()
    proxy.heal()
    with pytest.raises(TimeoutError):
        await echo(*silent)
    assert await echo(*await asyncio.open_connection(HOST, proxy.port)) == b"x"


@with_echo_server
async def test_reset_closes_open_connection(proxy):
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    assert await echo(reader, writer) == b"x"
    proxy.reset()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await echo(reader, writer)
