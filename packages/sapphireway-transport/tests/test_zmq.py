import asyncio

import zmq

from sapphireway_transport import ZmqEndpoint

SILENCE_MAX_MS = 3000  # a host must be reachable again within the time of a lease


def test_link_to_a_silent_host_is_given_up_and_opened_again():
    """The kernel ends a link whose data nobody acknowledges; the library reconnects.

    A host without power can't be played on loopback; what makes the kernel and the
    library act is asserted instead.
    """

    async def run():
        endpoint = ZmqEndpoint("127.0.0.1:0")
        endpoint._loop = asyncio.get_running_loop()
        endpoint.connect("127.0.0.1:9")
        socket = endpoint._connections["127.0.0.1:9"].socket
        options = (zmq.TCP_MAXRT, zmq.CONNECT_TIMEOUT, zmq.RECONNECT_IVL_MAX)
        times_ms = [socket.getsockopt(option) for option in options]
        endpoint.close()
        return times_ms

    times_ms = asyncio.run(run())
    assert all(time_ms > 0 for time_ms in times_ms)
    assert sum(times_ms) < SILENCE_MAX_MS
