"""Typed messages and request-reply exchanges with peers over an endpoint."""

import asyncio
import hashlib
import itertools
from collections.abc import Callable
from typing import Any

from sapphireway_protocol._calls import Departed, DepartedAck
from sapphireway_protocol._clocks import PeerClocks
from sapphireway_protocol._codec import Codec, Envelope
from sapphireway_transport import Endpoint

FIRST_REQUEST_ID_BYTES = 7  # leaves room to count upwards within 64 bits
# Enough for a successor at the address to reply; its reply is noticed later, too.
DEPARTED_TIMEOUT_S = 0.1

Handler = Callable[[str, Envelope], None]
"""Called with the sender's address and the envelope; must not block."""


class Peers:
    """Sends typed messages to other nodes and dispatches received ones.

    Parameters
    ----------
    endpoint : Endpoint
    incarnation : str
        Id of this start of the process.
    get_settings_version : callable
        Returns the version of the settings tree in force.

    Attributes
    ----------
    observe : callable
        Called with the sender's address and the envelope of every received message,
        before the handler.
    clocks : PeerClocks
        Clocks and incarnations of the peers from which a message was received.
    malformed_count : int
        Received messages that could not be decoded.
    """

    __slots__ = (
        "_codec",
        "_departure_listeners",
        "_endpoint",
        "_get_settings_version",
        "_handlers",
        "_late_reply_handlers",
        "_pending_replies",
        "_request_ids",
        "_started_s",
        "bytes_sent",
        "clocks",
        "incarnation",
        "malformed_count",
        "messages_sent",
        "observe",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        incarnation: str,
        get_settings_version: Callable[[], int] = lambda: 0,
    ):
        self._codec = Codec()
        self._departure_listeners = []
        self._endpoint = endpoint
        self._get_settings_version = get_settings_version
        self._handlers = {}
        self._late_reply_handlers = {}
        self._request_ids = itertools.count(_derive_first_request_id(incarnation))
        self._pending_replies = {}
        self._started_s = None
        self.bytes_sent = 0
        self.clocks = PeerClocks()
        self.incarnation = incarnation
        self.malformed_count = 0
        self.messages_sent = 0
        self.observe = lambda sender, envelope: None
        self.handle(Departed, self._handle_departed)

    @property
    def address(self) -> str:
        """Address of this node."""
        return self._endpoint.address

    def start(self) -> None:
        """Start receiving."""
        self._started_s = asyncio.get_running_loop().time()
        self._endpoint.start(self._receive)

    def close(self) -> None:
        """Stop receiving; pending requests end without a reply."""
        self._endpoint.close()
        self._end_requests(self._pending_replies.values())

    def connect(self, peer: str) -> None:
        """Prepare a connection to `peer`."""
        self._endpoint.connect(peer)

    def disconnect(self, peer: str) -> None:
        """Drop the connection to `peer` and the state of its clock."""
        self.clocks.forget(peer)
        self._endpoint.disconnect(peer)

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler for messages of one type that are not replies."""
        self._handlers[message_type] = handler

    def handle_late_reply(self, message_type: type, handler: Handler) -> None:
        """Register the handler for replies of one type to requests that have ended.

        A large reply over a slow link may take longer than its request waits. Copies of
        a reply, and replies to an earlier process at this address, are passed on too.
        """
        self._late_reply_handlers[message_type] = handler

    def add_departure_listener(self, listener: Handler) -> None:
        """Call `listener` with each `Departed`, also a late or repeated one."""
        self._departure_listeners.append(listener)

    def send(
        self,
        peer: str,
        message: Any,
        body: bytes = b"",
        *,
        request_id: int = 0,
        reply_to: int = 0,
    ) -> bool:
        """Send one message; return False if it was certainly not sent."""
        now_s = asyncio.get_running_loop().time()
        frames = self._codec.encode(
            Envelope(
                message,
                body,
                request_id,
                reply_to,
                self.incarnation,
                now_s,
                self._get_settings_version(),
                # Before this process receives, it has not run any request.
                now_s if self._started_s is None else self._started_s,
            )
        )
        self.messages_sent += 1
        self.bytes_sent += sum(map(len, frames))
        return self._endpoint.send(peer, frames)

    def reply(
        self, peer: str, request: Envelope, message: Any, body: bytes = b""
    ) -> bool:
        """Reply to a request, which must carry a request id."""
        return self.send(peer, message, body, reply_to=request.request_id)

    async def request(
        self,
        peer: str,
        message: Any,
        timeout_s: float,
        body: bytes = b"",
        resend_s: float | None = None,
    ) -> Envelope | None:
        """Send a request and wait for the reply; return None on timeout or failure.

        It fails at once if the peer departs, and soon if it has departed before and
        no successor is known.

        Parameters
        ----------
        resend_s : float, optional
            Interval at which an unanswered request is resent; the receiver must
            deduplicate requests.
        """
        if self.clocks.has_departed(peer):
            timeout_s = min(timeout_s, DEPARTED_TIMEOUT_S)
        request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = (peer, future)
        try:
            async with asyncio.timeout(timeout_s):
                while self.send(peer, message, body, request_id=request_id):
                    done, _ = await asyncio.wait([future], timeout=resend_s)
                    if done:
                        return future.result()
            return None
        except TimeoutError:
            return None
        finally:
            del self._pending_replies[request_id]

    def _receive(self, sender, frames):
        envelope = self._codec.decode(frames)
        if envelope is None:
            self.malformed_count += 1
            return
        self.clocks.record(sender, envelope, asyncio.get_running_loop().time())
        self.observe(sender, envelope)
        if envelope.reply_to:
            _, future = self._pending_replies.get(envelope.reply_to, (None, None))
            if future is not None and not future.done():
                future.set_result(envelope)
                return
        handlers = self._late_reply_handlers if envelope.reply_to else self._handlers
        handler = handlers.get(type(envelope.message))
        if handler is not None:
            handler(sender, envelope)

    def _handle_departed(self, sender, envelope):
        clock = self.clocks.get(sender)
        ended = self.clocks.is_superseded(sender, envelope.incarnation)
        self.clocks.supersede(sender, envelope.incarnation)
        for listener in self._departure_listeners:
            listener(sender, envelope)
        # Requests after a successor's first message are for the successor.
        if not ended and clock.incarnation == envelope.incarnation:
            pending = self._pending_replies.values()
            self._end_requests([each for each in pending if each[0] == sender])
        self.send(sender, DepartedAck(envelope.incarnation))

    def _end_requests(self, pending):
        for _, future in pending:
            if not future.done():
                future.set_result(None)


def _derive_first_request_id(incarnation):
    """Derive the first id from the incarnation.

    Late replies to a process that has ended reach its successor at the same address,
    which must not take them for replies to its own requests.
    """
    digest = hashlib.blake2b(incarnation.encode(), digest_size=FIRST_REQUEST_ID_BYTES)
    return int.from_bytes(digest.digest(), "big") + 1
