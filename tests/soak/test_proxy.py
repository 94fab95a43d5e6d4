import asyncio

import pytest

from tests.soak.proxy import TO_CLIENT, TO_SERVER, Proxy

HOST = "127.0.0.1"
QUICK_S = 0.2


def with_echo(test):
    """Run a test with a proxy before a server that repeats what it gets."""

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


async def exchange(reader, writer, content=b"x"):
    writer.write(content)
    async with asyncio.timeout(QUICK_S):
        return await reader.readexactly(len(content))


@with_echo
async def test_proxy_passes_bytes_and_ends(proxy):
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    assert await exchange(reader, writer, b"hours") == b"hours"
    writer.write_eof()
    assert await reader.read() == b""


@pytest.mark.parametrize("direction", [TO_SERVER, TO_CLIENT])
def test_proxy_keeps_what_comes_while_it_is_cut(direction):
    async def check(proxy):
        reader, writer = await asyncio.open_connection(HOST, proxy.port)
        proxy.cut.add(direction)
        with pytest.raises(TimeoutError):
            await exchange(reader, writer)
        proxy.heal()
        async with asyncio.timeout(QUICK_S):
            assert await reader.readexactly(1) == b"x"

    with_echo(check)()


@with_echo
async def test_silenced_connections_stay_so_and_new_ones_work(proxy):
    silent = await asyncio.open_connection(HOST, proxy.port)
    assert await exchange(*silent) == b"x"
    proxy.silence()
    proxy.heal()
    with pytest.raises(TimeoutError):
        await exchange(*silent)
    assert await exchange(*await asyncio.open_connection(HOST, proxy.port)) == b"x"


@with_echo
async def test_reset_ends_every_connection(proxy):
    reader, writer = await asyncio.open_connection(HOST, proxy.port)
    assert await exchange(reader, writer) == b"x"
    proxy.reset()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await exchange(reader, writer)
