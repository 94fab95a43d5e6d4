"""Claims on the idempotency keys of one service, as stored by one holder."""

import heapq
from collections.abc import Callable

import msgspec

from sapphireway_protocol import ClaimEntryCopy, ClaimReply, ClaimStatus, StoredOutcome

ENTRY_OVERHEAD_BYTES = 600
CLAIM_OVERHEAD_BYTES = 100
# Released claims are recorded only to ignore delayed duplicates of their messages.
RELEASED_PER_KEY_MAX = 16


class ClaimMemory(msgspec.Struct):
    """Memory accounting shared by all claim tables of one process.

    Attributes
    ----------
    limit_bytes : int
        Memory use at which new claims may no longer run.
    reserve_bytes : int
        Memory beyond the limit, for refused claims and for claims that are copied
        from other holders.
    used_bytes : int
    """

    limit_bytes: int = 8 * 1024 * 1024
    reserve_bytes: int = 1024 * 1024
    used_bytes: int = 0


class _Entry(msgspec.Struct):
    key: str
    serial: int
    digest: str = ""
    claims: dict[str, int] = msgspec.field(default_factory=dict)
    released: dict[str, None] = msgspec.field(default_factory=dict)
    fence: int = 0
    refuse_only: bool = False
    outcome: StoredOutcome | None = None
    expires_s: float = 0.0
    kept_until_s: float = 0.0
    deadline_s: float = 0.0
    size_bytes: int = 0


class ClaimTable:
    """Records which call holds each key, and the outcome of that call.

    Unexpired entries are never evicted. The caller passes in all times, read from
    one monotonic clock.

    Parameters
    ----------
    memory : ClaimMemory
    may_run_unsure : callable
        Returns whether an absent key may run before `unsure_until_s`.

    Attributes
    ----------
    fence : int
        Counter of the releases and merges after which earlier calls must not run.
    unsure_until_s : float
        Until then, the absence of a key does not prove that it never ran.
    """

    __slots__ = (
        "_entries",
        "_expiries",
        "_may_run_unsure",
        "_memory",
        "_serial",
        "fence",
        "unsure_until_s",
    )

    def __init__(
        self, memory: ClaimMemory, may_run_unsure: Callable[[], bool] = lambda: False
    ):
        self._entries = {}
        self._expiries = []
        self._may_run_unsure = may_run_unsure
        self._serial = 0
        self._memory = memory
        self.fence = 0
        self.unsure_until_s = 0.0

    def __len__(self):
        return len(self._entries)

    def claim(
        self,
        now_s: float,
        key: str,
        digest: str,
        claim: str,
        round_: int,
        *,
        budget_s: float,
        ttl_s: float,
        seen_fence: int,
    ) -> ClaimReply:
        """Vote for `claim` if no other claim holds the key.

        Parameters
        ----------
        round_ : int
            Number of the claimant's attempt to collect votes.
        budget_s : float
            Time until the deadline of the call.
        seen_fence : int
            Latest `fence` that the claimant knew when the call arrived.
        """
        self.expire(now_s)
        entry = self._entries.get(key)
        if entry is None or not (entry.claims or entry.outcome):
            refusal = self._find_refusal(now_s, entry, claim)
            if refusal is not None:
                return self._reply(refusal)
            entry = entry or self._add_entry(now_s, key)
            entry.digest = digest
            entry.deadline_s = now_s
            entry.refuse_only = self._memory.used_bytes >= self._memory.limit_bytes
        if entry.outcome is not None:
            return self._reply(
                ClaimStatus.DONE,
                same_request=entry.digest == digest,
                outcome=entry.outcome,
            )
        if entry.claims.keys() - {claim}:
            return self._reply_held(now_s, entry, digest, claim)
        entry.claims[claim] = max(round_, entry.claims.get(claim, 0))
        entry.deadline_s = max(entry.deadline_s, now_s + budget_s)
        # A claim must outlive its call, which may run until its deadline.
        entry.expires_s = max(entry.expires_s, now_s + max(ttl_s, 2 * budget_s))
        self._update_size(entry)
        if entry.refuse_only:
            return self._reply(ClaimStatus.FULL)
        if seen_fence < entry.fence:
            return self._reply(ClaimStatus.FENCED)
        return self._reply(ClaimStatus.GRANTED)

    def release(
        self,
        now_s: float,
        key: str,
        claim: str,
        round_: int,
        *,
        keep_s: float,
        fence: bool,
    ) -> bool:
        """Withdraw the votes for `claim` up to `round_`.

        Parameters
        ----------
        keep_s : float
            How long to record that the claim has ended; 0 if it may be made again.
        fence : bool
            Whether calls that arrived before the release must no longer run.

        Returns
        -------
        bool
            False if there is no memory left to record the release.
        """
        self.expire(now_s)
        entry = self._entries.get(key)
        if entry is None:
            if not keep_s:
                return True
            if self._is_exhausted():
                return False
            entry = self._add_entry(now_s, key)
        if keep_s or entry.claims.get(claim, round_ + 1) <= round_:
            entry.claims.pop(claim, None)
        if fence and claim not in entry.released:
            # A delayed duplicate must not fence calls that arrived after the release.
            self.fence += 1
            entry.fence = self.fence
        if keep_s:
            _record_release(entry, claim)
        entry.kept_until_s = max(entry.kept_until_s, now_s + keep_s)
        if entry.claims or entry.outcome is not None:
            entry.expires_s = max(entry.expires_s, entry.kept_until_s)
        else:
            self._schedule_expiry(key, entry, entry.kept_until_s)
        self._update_size(entry)
        self.expire(now_s)
        return True

    def record(
        self,
        now_s: float,
        key: str,
        digest: str,
        claim: str,
        outcome: StoredOutcome,
        ttl_s: float,
    ) -> None:
        """Store the outcome of the call that held the key at a quorum of holders."""
        self.expire(now_s)
        entry = self._entries.get(key)
        if entry is None:
            entry = self._add_entry(now_s, key)
        if entry.outcome is not None:
            return
        assert claim not in entry.released, "outcome recorded for a released claim"
        entry.digest = digest
        entry.claims.clear()
        entry.outcome = outcome
        entry.expires_s = max(entry.expires_s, now_s + ttl_s)
        self._update_size(entry)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether `size_bytes` more fit below the limit."""
        return self._memory.used_bytes + size_bytes <= self._memory.limit_bytes

    def expire(self, now_s: float) -> None:
        """Remove expired entries."""
        while self._expiries and self._expiries[0][0] <= now_s:
            _, key, serial = heapq.heappop(self._expiries)
            entry = self._entries.get(key)
            if entry is None or entry.serial != serial:
                continue
            if entry.expires_s <= now_s:
                self._remove_entry(key)
            else:
                heapq.heappush(self._expiries, (entry.expires_s, key, serial))

    def copy_page(
        self, now_s: float, after: int, page_bytes: int
    ) -> tuple[list[ClaimEntryCopy], int, bool]:
        """Copy one page of entries in the order of their serial numbers.

        Parameters
        ----------
        after : int
            Serial number of the last entry of the previous page.

        Returns
        -------
        copies : list of ClaimEntryCopy
        last : int
            Serial number of the last entry copied.
        more : bool
        """
        copies = []
        size = 0
        for key, entry in self._entries.items():
            if entry.serial <= after:
                continue
            if copies and size + entry.size_bytes > page_bytes:
                return copies, after, True
            copies.append(_copy_entry(now_s, key, entry))
            size += entry.size_bytes
            after = entry.serial
        return copies, after, False

    def merge(self, now_s: float, copies: list[ClaimEntryCopy]) -> None:
        """Merge entries of another holder; no existing entry is removed."""
        self.fence += 1
        for copy in copies:
            entry = self._entries.get(copy.key)
            if entry is None:
                entry = self._add_entry(now_s, copy.key)
                entry.digest = copy.digest
            self._merge_entry(now_s, entry, copy)
            entry.expires_s = max(entry.expires_s, now_s + copy.expires_in_s)
            entry.kept_until_s = max(entry.kept_until_s, now_s + copy.kept_for_s)
            self._update_size(entry)

    def clear(self) -> None:
        """Remove all entries."""
        for key in list(self._entries):
            self._remove_entry(key)

    def _merge_entry(self, now_s, entry, copy):
        for claim in copy.released:
            _record_release(entry, claim)
        if copy.fenced:
            # Fence numbers differ between holders; the latest one of this table is
            # safe, because it fences every call that arrived before the merge.
            entry.fence = self.fence
        if entry.outcome is None and copy.outcome is not None:
            entry.outcome = copy.outcome
            entry.digest = copy.digest
        if entry.outcome is not None:
            entry.claims.clear()
            return
        if copy.claims and not entry.claims:
            entry.digest = copy.digest
        for claim, round_ in copy.claims.items():
            entry.claims[claim] = max(round_, entry.claims.get(claim, 0))
        for claim in entry.released:
            entry.claims.pop(claim, None)
        entry.refuse_only |= copy.refuse_only
        entry.deadline_s = max(entry.deadline_s, now_s + copy.deadline_in_s)

    def _find_refusal(self, now_s, entry, claim):
        if now_s < self.unsure_until_s and not self._may_run_unsure():
            return ClaimStatus.UNSURE
        if entry is not None and claim in entry.released:
            # A delayed duplicate: the call has ended and nothing awaits this reply.
            return ClaimStatus.EXHAUSTED
        if self._is_exhausted():
            return ClaimStatus.EXHAUSTED
        return None

    def _is_exhausted(self):
        memory = self._memory
        return memory.used_bytes >= memory.limit_bytes + memory.reserve_bytes

    def _add_entry(self, now_s, key):
        self._serial += 1
        entry = self._entries[key] = _Entry(key, self._serial)
        self._schedule_expiry(key, entry, now_s)
        return entry

    def _reply_held(self, now_s, entry, digest, claim):
        return self._reply(
            ClaimStatus.HELD,
            claims=tuple(entry.claims.keys() - {claim}),
            same_request=entry.digest == digest,
            overdue=now_s >= entry.deadline_s,
        )

    def _reply(self, status, **fields):
        return ClaimReply(status, self.fence, **fields)

    def _schedule_expiry(self, key, entry, expires_s):
        entry.expires_s = expires_s
        heapq.heappush(self._expiries, (expires_s, key, entry.serial))

    def _update_size(self, entry):
        size = ENTRY_OVERHEAD_BYTES + len(entry.key) + len(entry.digest)
        size += CLAIM_OVERHEAD_BYTES * (len(entry.claims) + len(entry.released))
        if entry.outcome is not None:
            size += len(entry.outcome.body) + len(entry.outcome.detail)
            size += sum(len(n) + len(v) for n, v in entry.outcome.headers)
        self._memory.used_bytes += size - entry.size_bytes
        entry.size_bytes = size
        assert self._memory.used_bytes >= 0, "accounted claim memory is negative"

    def _remove_entry(self, key):
        self._memory.used_bytes -= self._entries.pop(key).size_bytes


def _record_release(entry, claim):
    entry.released[claim] = None
    if len(entry.released) > RELEASED_PER_KEY_MAX:
        del entry.released[next(iter(entry.released))]


def _copy_entry(now_s, key, entry):
    return ClaimEntryCopy(
        key,
        entry.digest,
        dict(entry.claims),
        tuple(entry.released),
        entry.fence > 0,
        entry.refuse_only,
        entry.outcome,
        max(0.0, entry.expires_s - now_s),
        max(0.0, entry.kept_until_s - now_s),
        max(0.0, entry.deadline_s - now_s),
    )
