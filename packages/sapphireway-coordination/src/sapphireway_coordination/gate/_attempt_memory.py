"""Records of the attempts that a node was asked to run, so that none runs twice.

An attempt carries a latest start, a time of this node's clock after which it must not
start. Its record is kept until `RETENTION_S` after that time, so a duplicate message
finds either the record or a latest start that has passed.
"""

import collections
import enum
import heapq

import msgspec

from sapphireway_protocol import Reply

START_HORIZON_S = 120.0  # how far ahead a latest start may be
RETENTION_S = 60.0
RECORDS_MAX = 50_000
REPLIES_MAX_BYTES = 8 * 1024 * 1024
REPLY_RETENTION_S = 15.0


class AttemptState(enum.StrEnum):
    """Stage in the life of an attempt."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    REVOKED = "revoked"


class AttemptRecord(msgspec.Struct):
    """State and reply of one attempt.

    Attributes
    ----------
    attempt : str
    state : AttemptState
    forget_at_s : float
        Loop time after which the record may be deleted.
    reply : Reply or None
        Set once it has finished.
    body : bytes or None
        Body of the reply; None once dropped to save memory.
    sender : str
        Address of the entry node; "" if the attempt's `Run` has not arrived.
    latest_start_s : float
        As in the attempt's `Run`.
    """

    attempt: str
    state: AttemptState
    forget_at_s: float
    reply: Reply | None = None
    body: bytes | None = b""
    sender: str = ""
    latest_start_s: float = 0.0


class AttemptMemory:
    """Records of attempts, bounded in number, bytes and time.

    Parameters
    ----------
    records_max : int, default=50_000
    replies_max_bytes : int, default=8 MiB
    """

    __slots__ = (
        "_expiries",
        "_kept_bytes",
        "_kept_replies",
        "_records",
        "_records_max",
        "_replies_max_bytes",
    )

    def __init__(
        self,
        records_max: int = RECORDS_MAX,
        replies_max_bytes: int = REPLIES_MAX_BYTES,
    ):
        self._records = {}
        self._records_max = records_max
        self._expiries = []
        self._kept_replies = collections.OrderedDict()
        self._kept_bytes = 0
        self._replies_max_bytes = replies_max_bytes

    def __len__(self):
        return len(self._records)

    @property
    def kept_bytes(self) -> int:
        """Total size of the stored reply bodies."""
        return self._kept_bytes

    def get(self, attempt: str) -> AttemptRecord | None:
        """Return the record of an attempt, or None if there is none."""
        return self._records.get(attempt)

    def open(
        self, attempt: str, latest_start_s: float, now_s: float, sender: str = ""
    ) -> AttemptRecord | None:
        """Return a new record in state WAITING, or None if the table is full.

        Parameters
        ----------
        attempt : str
        latest_start_s : float
            Loop time after which the attempt must not start.
        now_s : float
        sender : str
            Address of the entry node; "" if the attempt's `Run` has not arrived.
        """
        self._expire(now_s)
        if len(self._records) >= self._records_max:
            return None
        record = AttemptRecord(
            attempt,
            AttemptState.WAITING,
            max(latest_start_s, now_s) + RETENTION_S,
            sender=sender,
            latest_start_s=latest_start_s,
        )
        self._records[attempt] = record
        heapq.heappush(self._expiries, (record.forget_at_s, attempt))
        return record

    def revoke(self, attempt: str, now_s: float) -> AttemptRecord | None:
        """Revoke an attempt that has not arrived; return None if the table is full."""
        record = self.open(attempt, now_s + START_HORIZON_S, now_s)
        if record is not None:
            record.state = AttemptState.REVOKED
        return record

    def finish(
        self, record: AttemptRecord, reply: Reply, body: bytes, now_s: float
    ) -> None:
        """Store the reply of an attempt, so that a duplicate gets it again."""
        record.state = AttemptState.FINISHED
        record.reply = reply
        record.body = body
        record.forget_at_s = max(record.forget_at_s, now_s + RETENTION_S)
        if body:
            self._kept_replies[record.attempt] = (now_s, record)
            self._kept_bytes += len(body)
        self._drop_bodies(now_s)

    def list_started(self, since_s: float) -> dict[str, list[str]]:
        """Return the ids of the attempts that may have run, by entry node.

        The list is complete for attempts with a latest start of at least `since_s`,
        if that is at most `RETENTION_S` ago.
        """
        started = {}
        for record in self._records.values():
            if record.latest_start_s >= since_s and _may_have_run(record):
                started.setdefault(record.sender, []).append(record.attempt)
        return started

    def _drop_bodies(self, now_s):
        while self._kept_replies:
            finished_s, record = next(iter(self._kept_replies.values()))
            expired = now_s - finished_s > REPLY_RETENTION_S
            if not expired and self._kept_bytes <= self._replies_max_bytes:
                return
            self._kept_replies.popitem(last=False)
            self._kept_bytes -= len(record.body)
            record.body = None

    def _expire(self, now_s):
        self._drop_bodies(now_s)
        while self._expiries and self._expiries[0][0] < now_s:
            _, attempt = heapq.heappop(self._expiries)
            record = self._records[attempt]
            unfinished = record.state in (AttemptState.WAITING, AttemptState.RUNNING)
            if unfinished or record.forget_at_s > now_s:
                next_check_s = max(record.forget_at_s, now_s + RETENTION_S)
                heapq.heappush(self._expiries, (next_check_s, attempt))
                continue
            del self._records[attempt]


def _may_have_run(record):
    if record.state is AttemptState.FINISHED:
        return record.reply.outcome != "not_run"
    return record.state is AttemptState.RUNNING
