"""Attempts in progress and the replies of the servers' nodes to them."""

import asyncio
import collections
import enum
from collections.abc import Callable

from sapphireway_coordination.routing._events import AttemptCause
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import (
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
    read_answer,
)


class Progress(enum.StrEnum):
    """Progress of an attempt that has not ended."""

    SENT = "sent"
    STARTED = "started"


class Attempt:
    """One attempt of a call.

    Attributes
    ----------
    attempt_id : str
    load : ServerLoad
        Server that the attempt was sent to.
    cause : AttemptCause
    incarnation : str
        Incarnation of the server's node that may run the attempt.
    latest_start_s : float
        Reading of the node's clock after which the attempt must not start; 0 if
        unknown.
    sent_s : float
    progress : Progress
    revokes : int
        Number of revoke requests sent.
    revoked_s : float
        Time of the last revoke request.
    result : Outcome or None
        Outcome of the attempt, once it is known.
    server_s : float
        Processing time reported by the server's node; 0 if unknown.
    post : callable
        Called with the attempt whenever its result or progress changes.
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
    """Queue of changed attempts, read by the single task of their call."""

    __slots__ = ("_changed", "_waiter")

    def __init__(self):
        self._changed = collections.deque()
        self._waiter = None

    @property
    def has_changes(self) -> bool:
        """Whether a changed attempt is queued."""
        return bool(self._changed)

    def post(self, attempt: Attempt) -> None:
        """Queue a changed attempt and wake the call's task."""
        self._changed.append(attempt)
        self._wake()

    async def take(self, until_s: float) -> Attempt | None:
        """Return the next changed attempt, or None if there is none by `until_s`."""
        if not self._changed:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_at(until_s, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        return self._changed.popleft() if self._changed else None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class AttemptTable:
    """All attempts of this node in progress, by id.

    Only the node that an attempt was sent to can end it, and only its first outcome
    counts: late, duplicate and misdirected replies match no attempt in this table.

    Parameters
    ----------
    peers : Peers
    on_report : callable
        Called with each load report that a message carries.

    Attributes
    ----------
    ignored : int
        Replies that matched no attempt.
    """

    __slots__ = ("_by_node", "_on_report", "_open", "_peers", "ignored")

    def __init__(self, peers: Peers, on_report: Callable[[LoadReport], None]):
        self._peers = peers
        self._on_report = on_report
        self._open = {}
        self._by_node = {}
        self.ignored = 0
        peers.handle(Reply, self._handle_reply)
        peers.handle(Revoked, self._handle_revoked)
        peers.add_departure_listener(self._handle_departed)
        peers.clocks.add_restart_listener(self._handle_restart)

    def __len__(self):
        return len(self._open)

    def send(self, attempt: Attempt, run: Run, body: bytes) -> bool:
        """Send an attempt; return False if it certainly did not leave this process."""
        if self._peers.clocks.is_superseded(attempt.node, attempt.incarnation):
            return False
        if not self._peers.send(attempt.node, run, body):
            return False
        attempt.latest_start_s = run.latest_start_s
        self._open[attempt.attempt_id] = attempt
        self._by_node.setdefault(attempt.node, {})[attempt.attempt_id] = attempt
        attempt.load.outstanding[attempt.attempt_id] = attempt.sent_s
        return True

    def wake(self, load: ServerLoad) -> None:
        """Wake the calls with attempts at a server so that they re-evaluate it."""
        for attempt_id in load.outstanding:
            attempt = self._open[attempt_id]
            attempt.post(attempt)

    def wake_all(self) -> None:
        """Wake the calls with open attempts so that they re-evaluate them."""
        for attempt in self._open.values():
            attempt.post(attempt)

    def send_revoke(self, attempt: Attempt, now_s: float, keep_waiting: bool) -> None:
        """Ask the server's node never to start an attempt.

        With `keep_waiting`, an attempt that is already queued keeps its place.
        """
        attempt.revokes += 1
        attempt.revoked_s = now_s
        revoke = Revoke(attempt.attempt_id, attempt.latest_start_s, keep_waiting)
        self._peers.send(attempt.node, revoke)

    def drop(self, attempt: Attempt, *, cancel: bool) -> None:
        """Stop tracking an attempt; with `cancel`, tell the server's node."""
        if self._open.pop(attempt.attempt_id, None) is None:
            return
        attempt.load.outstanding.pop(attempt.attempt_id, None)
        node_attempts = self._by_node[attempt.node]
        del node_attempts[attempt.attempt_id]
        if not node_attempts:
            del self._by_node[attempt.node]
        if cancel:
            self._peers.send(attempt.node, Cancel(attempt.attempt_id))

    def _handle_reply(self, sender, envelope):
        reply = envelope.message
        if reply.load is not None:
            self._on_report(reply.load)
        attempt = self._find(sender, reply.attempt)
        if attempt is None:
            return
        attempt.server_s = reply.server_ms / 1000.0
        if envelope.incarnation == attempt.incarnation:
            self._end(attempt, read_outcome(envelope))
        else:
            self._end_superseded(sender, attempt)

    def _handle_revoked(self, sender, envelope):
        revoked = envelope.message
        if revoked.load is not None:
            self._on_report(revoked.load)
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

    def _handle_departed(self, sender, envelope):
        for attempt in list(self._by_node.get(sender, {}).values()):
            if excludes_run(envelope, attempt):
                detail = "the node stopped before it started the attempt"
                self._end(attempt, NotRun(NotRunReason.DRAINING, detail=detail))

    def _handle_restart(self, node, clock):
        for attempt in list(self._by_node.get(node, {}).values()):
            if attempt.incarnation != clock.incarnation:
                self._end(attempt, resolve_superseded(attempt, clock))

    def _end_superseded(self, sender, attempt):
        clock = self._peers.clocks.get(sender)
        if clock is not None and clock.incarnation != attempt.incarnation:
            if clock.was_running(attempt.sent_s):
                self._peers.clocks.supersede(sender, attempt.incarnation)
            self._end(attempt, resolve_superseded(attempt, clock))

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


def resolve_superseded(attempt: Attempt, clock: PeerClock) -> Outcome:
    """Return the outcome of an attempt sent to a superseded incarnation of a node.

    The new incarnation refuses attempts that name another one. If it was already
    running when the attempt was sent, the old one had ended and cannot have run it.
    """
    if clock.was_running(attempt.sent_s):
        return NotRun(NotRunReason.STALE, 0.0, "sent after the node's restart")
    return Unknown("the server's node restarted")


def excludes_run(envelope: Envelope, attempt: Attempt) -> bool:
    """Return whether a `Departed` shows that an attempt has not run and never will.

    Its incarnation must be the one that the attempt names. An attempt without a
    latest start can never start; one whose latest start is older than the message
    covers may have run and been forgotten.
    """
    departed = envelope.message
    if envelope.incarnation != attempt.incarnation:
        return False
    if attempt.attempt_id in departed.started:
        return False
    latest_start_s = attempt.latest_start_s
    return not latest_start_s or latest_start_s >= departed.complete_since_s


def read_outcome(envelope: Envelope) -> Outcome:
    """Return the outcome carried by a `Reply` and its body."""
    reply = envelope.message
    if reply.outcome == "answered":
        headers = tuple((name, value) for name, value in reply.headers)
        return read_answer(reply.status, headers, envelope.body)
    if reply.outcome == "not_run":
        try:
            reason = NotRunReason(reply.reason)
        except ValueError:
            reason = NotRunReason.OVERLOADED
        return NotRun(reason, reply.retry_after_s, reply.detail)
    if reply.outcome == "failed":
        return Failed(reply.detail)
    return Unknown(reply.detail)
