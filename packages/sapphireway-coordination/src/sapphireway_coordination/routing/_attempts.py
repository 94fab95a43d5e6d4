"""Attempts of calls under way, and what the servers' nodes say of them."""

import asyncio
import collections
import enum
from collections.abc import Callable

from sapphireway_coordination.routing._events import AttemptCause
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import (
    Answered,
    Cancel,
    Envelope,
    Failed,
    LoadReport,
    NotRun,
    NotRunReason,
    Outcome,
    PeerClock,
    Peers,
    Reply,
    Revoke,
    Revoked,
    Run,
    Unknown,
)


class Progress(enum.StrEnum):
    """What is known of an attempt that has not ended."""

    SENT = "sent"
    STARTED = "started"


class Attempt:
    """One attempt of a call.

    Attributes
    ----------
    attempt_id : str
    load : ServerLoad
        The server that it was sent to.
    cause : AttemptCause
    incarnation : str
        Incarnation of the server's node that may run it.
    latest_start_s : float
        Reading of the node's clock after which it must not start; 0 if not known.
    sent_s : float
    progress : Progress
    revokes : int
        Times that it was asked never to start.
    revoked_s : float
        When it was last asked.
    result : Outcome or None
        Its end, if it is known.
    server_s : float
        Time that the server's node says it took; 0 if not known.
    post : callable
        Called with the attempt whenever its result or progress changed.
    """

    __slots__ = (
        "attempt_id",
        "cause",
        "incarnation",
        "latest_start_s",
        "load",
        "post",
        "progress",
        "result",
        "revoked_s",
        "revokes",
        "sent_s",
        "server_s",
    )

    def __init__(
        self,
        attempt_id: str,
        load: ServerLoad,
        cause: AttemptCause,
        incarnation: str,
        sent_s: float,
        post: Callable[["Attempt"], None],
    ):
        self.attempt_id = attempt_id
        self.load = load
        self.cause = cause
        self.incarnation = incarnation
        self.latest_start_s = 0.0
        self.sent_s = sent_s
        self.post = post
        self.progress = Progress.SENT
        self.revokes = 0
        self.revoked_s = 0.0
        self.result = None
        self.server_s = 0.0

    @property
    def node(self) -> str:
        """Address of the server's node."""
        return self.load.member.node


class Mailbox:
    """Attempts whose state changed, for the one task of their call."""

    __slots__ = ("_changed", "_waiting")

    def __init__(self):
        self._changed = collections.deque()
        self._waiting = None

    def post(self, attempt: Attempt) -> None:
        """Hand over an attempt and wake the call's task."""
        self._changed.append(attempt)
        self._wake()

    async def take(self, until_s: float) -> Attempt | None:
        """Return the next attempt that changed, or None at `until_s`."""
        if not self._changed:
            loop = asyncio.get_running_loop()
            self._waiting = loop.create_future()
            timer = loop.call_at(until_s, self._wake)
            try:
                await self._waiting
            finally:
                timer.cancel()
                self._waiting = None
        return self._changed.popleft() if self._changed else None

    def _wake(self):
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)


class AttemptTable:
    """All attempts of this node under way, by id.

    Only the node that an attempt was sent to can end it, and only its first end
    counts: late, repeated and crossed replies find no attempt here.

    Parameters
    ----------
    peers : Peers
    take_report : callable
        Called with each load report that comes with a message.

    Attributes
    ----------
    ignored : int
        Replies that matched no attempt.
    """

    __slots__ = ("_by_node", "_open", "_peers", "_take_report", "ignored")

    def __init__(self, peers: Peers, take_report: Callable[[LoadReport], None]):
        self._peers = peers
        self._take_report = take_report
        self._open = {}
        self._by_node = {}
        self.ignored = 0
        peers.handle(Reply, self._take_reply)
        peers.handle(Revoked, self._take_revoked)
        peers.clocks.listen(self._take_restart)

    def __len__(self):
        return len(self._open)

    def send(self, attempt: Attempt, run: Run, body: bytes) -> bool:
        """Send an attempt; False if it certainly did not leave this process."""
        if not self._peers.send(attempt.node, run, body):
            return False
        attempt.latest_start_s = run.latest_start_s
        self._open[attempt.attempt_id] = attempt
        self._by_node.setdefault(attempt.node, {})[attempt.attempt_id] = attempt
        attempt.load.outstanding[attempt.attempt_id] = attempt.sent_s
        return True

    def wake(self, load: ServerLoad) -> None:
        """Let the calls with attempts at a server look at it again."""
        for attempt_id in load.outstanding:
            attempt = self._open[attempt_id]
            attempt.post(attempt)

    def send_revoke(self, attempt: Attempt, now_s: float, keep_waiting: bool) -> None:
        """Ask that an attempt never starts, or only if it does not wait already."""
        attempt.revokes += 1
        attempt.revoked_s = now_s
        revoke = Revoke(attempt.attempt_id, attempt.latest_start_s, keep_waiting)
        self._peers.send(attempt.node, revoke)

    def drop(self, attempt: Attempt, *, cancel: bool) -> None:
        """Stop waiting for an attempt; with `cancel`, tell the server's node."""
        if self._open.pop(attempt.attempt_id, None) is None:
            return
        attempt.load.outstanding.pop(attempt.attempt_id, None)
        siblings = self._by_node[attempt.node]
        del siblings[attempt.attempt_id]
        if not siblings:
            del self._by_node[attempt.node]
        if cancel:
            self._peers.send(attempt.node, Cancel(attempt.attempt_id))

    def _take_reply(self, sender, envelope):
        reply = envelope.message
        if reply.load is not None:
            self._take_report(reply.load)
        attempt = self._find(sender, reply.attempt)
        if attempt is None:
            return
        attempt.server_s = reply.server_ms / 1000.0
        if envelope.incarnation == attempt.incarnation:
            self._end(attempt, read_outcome(envelope))
        else:
            self._end_superseded(sender, attempt)

    def _take_revoked(self, sender, envelope):
        revoked = envelope.message
        if revoked.load is not None:
            self._take_report(revoked.load)
        attempt = self._find(sender, revoked.attempt)
        if attempt is None:
            return
        if envelope.incarnation != attempt.incarnation:
            self._end_superseded(sender, attempt)
        elif revoked.never_runs:
            self._end(attempt, NotRun(NotRunReason.REVOKED, detail="revoked in time"))
        else:
            attempt.progress = Progress.STARTED
            attempt.post(attempt)

    def _take_restart(self, node, clock):
        for attempt in list(self._by_node.get(node, {}).values()):
            if attempt.incarnation != clock.incarnation:
                self._end(attempt, judge_superseded(attempt, clock))

    def _end_superseded(self, sender, attempt):
        clock = self._peers.clocks.get(sender)
        if clock is not None and clock.incarnation != attempt.incarnation:
            if clock.was_running(attempt.sent_s):
                self._peers.clocks.supersede(sender, attempt.incarnation)
            self._end(attempt, judge_superseded(attempt, clock))

    def _end(self, attempt, outcome):
        attempt.result = outcome
        self.drop(attempt, cancel=False)
        attempt.post(attempt)

    def _find(self, sender, attempt_id):
        attempt = self._open.get(attempt_id)
        if attempt is None or attempt.node != sender:
            self.ignored += 1
            return None
        return attempt


def judge_superseded(attempt: Attempt, clock: PeerClock) -> Outcome:
    """Return the end of an attempt whose incarnation of the node is gone.

    The new incarnation refuses what names another. If it already ran when the
    attempt was sent, the old one had ended and cannot have run it.
    """
    if clock.was_running(attempt.sent_s):
        return NotRun(NotRunReason.STALE, 0.0, "sent after the node's restart")
    return Unknown("the node beside the server restarted")


def read_outcome(envelope: Envelope) -> Outcome:
    """Return the outcome that a `Reply` and its body carry."""
    reply = envelope.message
    if reply.outcome == "answered":
        headers = tuple((name, value) for name, value in reply.headers)
        return Answered(reply.status, headers, envelope.body)
    if reply.outcome == "not_run":
        try:
            reason = NotRunReason(reply.reason)
        except ValueError:
            reason = NotRunReason.OVERLOADED
        return NotRun(reason, reply.retry_after_s, reply.detail)
    if reply.outcome == "failed":
        return Failed(reply.detail)
    return Unknown(reply.detail)
