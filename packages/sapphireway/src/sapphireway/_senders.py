"""Whether the sender of an order still waits for its answer."""

import asyncio

from tornado.httputil import HTTPServerRequest

from sapphireway._stalls import StallWatch


class Sender:
    """The sender of one order, which may have left or gone on to another node.

    What it sent there, or a later order, may overtake this one.

    Parameters
    ----------
    request : HTTPServerRequest
        The order; create the sender as soon as its head was read.
    watch : StallWatch
    wait_max_s : float
        Age of an order at which its sender counts as gone.
    """

    __slots__ = ("_arrived", "_request", "_wait_max_s", "_watch")

    def __init__(
        self, request: HTTPServerRequest, watch: StallWatch, wait_max_s: float
    ):
        self._arrived = watch.find_earliest_arrival()
        self._request = request
        self._wait_max_s = wait_max_s
        self._watch = watch

    def is_connected(self) -> bool:
        """Return whether the connection is open, as far as it was polled."""
        stream = self._request.connection.stream
        return stream is not None and not stream.closed()

    def compute_age(self) -> float:
        """Return the age in seconds that the order may have, with any stall."""
        return self._watch.compute_age(self._arrived)

    async def find_staleness(self) -> str | None:
        """Return why the order must not be carried out any more, or None."""
        # The loop polls its sockets in the first turn, and tornado reads in the second.
        for _ in range(2):
            await asyncio.sleep(0)
        if not self.is_connected():
            return "the sender has closed the connection"
        age_s = self.compute_age()
        if age_s >= self._wait_max_s:
            return f"the order may be {age_s:.1f} s old; send it again"
        return None
