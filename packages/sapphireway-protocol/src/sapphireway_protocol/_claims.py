"""Messages of idempotency claims: claimants, holders and the group they form."""

import enum

import msgspec


class GroupHolder(msgspec.Struct, frozen=True, array_like=True):
    """One holder of a claim group; a restarted process is another holder.

    Attributes
    ----------
    node : str
        Address, ``host:port``.
    incarnation : str
    domain : str
        Failure domain.
    """

    node: str
    incarnation: str
    domain: str


class ClaimGroup(msgspec.Struct, frozen=True, array_like=True):
    """The holders of a shard of a service's claims, decided by the control quorum.

    Attributes
    ----------
    name : str
        The service, and the shard if there are several.
    epoch : int
        Counts the changes of the group, from 1.
    holders : tuple of GroupHolder
    previous : tuple of GroupHolder
        Holders of the epoch before, whose claims are taken over.
    lost : bool
        True if the claims of the epoch before could not be taken over.
    unsure_s : float
        How long an absent key proves nothing after a loss.
    """

    name: str
    epoch: int
    holders: tuple[GroupHolder, ...]
    previous: tuple[GroupHolder, ...] = ()
    lost: bool = False
    unsure_s: float = 0.0

    @property
    def majority(self) -> int:
        """Number of holders in the smallest quorum."""
        return len(self.holders) // 2 + 1


class ClaimStatus(enum.StrEnum):
    """What a holder says of a claim.

    The first three mean that the claim holds the key at this holder.
    """

    GRANTED = "granted"
    FENCED = "fenced"
    FULL = "full"
    HELD = "held"
    DONE = "done"
    UNSURE = "unsure"
    EXHAUSTED = "exhausted"
    EPOCH = "epoch"
    SYNCING = "syncing"


class OutcomeKind(enum.StrEnum):
    """How a claimed call ended."""

    ANSWERED = "answered"
    ANSWER_DROPPED = "answer_dropped"
    FAILED = "failed"
    UNKNOWN = "unknown"


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome that resends of a key get.

    Attributes
    ----------
    kind : OutcomeKind
    status : int
        HTTP status, if answered.
    headers : tuple of (str, str)
    body : bytes
    detail : str
    """

    kind: OutcomeKind
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    detail: str = ""


class ClaimRequest(msgspec.Struct, frozen=True, tag="claim", array_like=True):
    """Ask a holder for its vote for one call.

    Attributes
    ----------
    group_name : str
    epoch : int
    incarnation : str
        Incarnation of the holder that is meant.
    key : str
    digest : str
        Names the request; a key stands for one request only.
    claim : str
        Id of the claimant's call.
    round : int
        Counts the claimant's tries.
    budget_s : float
        Time left until the call's deadline.
    ttl_s : float
        How long the key is kept.
    seen_fence : int
        Highest fence of this holder that the claimant knew when the call arrived.
    """

    group_name: str
    epoch: int
    incarnation: str
    key: str
    digest: str
    claim: str
    round: int
    budget_s: float
    ttl_s: float
    seen_fence: int


class ClaimReply(msgspec.Struct, frozen=True, tag="claim_reply", array_like=True):
    """Answer to `ClaimRequest`.

    Attributes
    ----------
    status : ClaimStatus
    fence : int
        Latest fence of the holder.
    claims : tuple of str
        Other claims that hold the key here.
    same_request : bool
        False if the key stands for another request.
    overdue : bool
        True if the deadline of every other claim has passed.
    outcome : StoredOutcome or None
    group : ClaimGroup or None
        The holder's group, if its epoch differs.
    """

    status: ClaimStatus
    fence: int = 0
    claims: tuple[str, ...] = ()
    same_request: bool = True
    overdue: bool = False
    outcome: StoredOutcome | None = None
    group: ClaimGroup | None = None


class ClaimRelease(msgspec.Struct, frozen=True, tag="claim_release", array_like=True):
    """Give up a claim whose call was not dispatched or certainly did not run.

    Attributes
    ----------
    group_name : str
    epoch : int
    incarnation : str
    key : str
    claim : str
    round : int
        The release undoes votes of this round and earlier ones.
    keep_s : float
        How long the release is remembered; 0 if the call will claim again.
    fence : bool
        True if calls that arrived before this release must not run any more.
    """

    group_name: str
    epoch: int
    incarnation: str
    key: str
    claim: str
    round: int
    keep_s: float = 0.0
    fence: bool = False


class ClaimRecord(msgspec.Struct, frozen=True, tag="claim_record", array_like=True):
    """Keep the outcome of a call that held its key at a quorum."""

    group_name: str
    epoch: int
    incarnation: str
    key: str
    digest: str
    claim: str
    ttl_s: float
    outcome: StoredOutcome


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack", array_like=True):
    """Answer to `ClaimRelease` and `ClaimRecord`; see `ClaimReply`."""

    done: bool
    fence: int = 0
    group: ClaimGroup | None = None


class ClaimEntryCopy(msgspec.Struct, frozen=True, array_like=True):
    """One key of a holder's table, with times that are left instead of clocks."""

    key: str
    digest: str
    claims: dict[str, int]
    released: tuple[str, ...]
    fenced: bool
    refuse_only: bool
    outcome: StoredOutcome | None
    expires_in_s: float
    kept_in_s: float
    deadline_in_s: float


class ClaimPull(msgspec.Struct, frozen=True, tag="claim_pull", array_like=True):
    """Seal the epoch before `epoch` and send the next page of its claims.

    Attributes
    ----------
    group_name : str
    epoch : int
        Epoch that the claims are taken over to.
    incarnation : str
    after : int
        Serial of the last entry that was received.
    """

    group_name: str
    epoch: int
    incarnation: str
    after_serial: int = 0


class ClaimPage(msgspec.Struct, frozen=True, tag="claim_page", array_like=True):
    """Answer to `ClaimPull`.

    Attributes
    ----------
    ready : bool
        False if this process can't speak for the epoch before.
    entries : tuple of EntryCopy
    last : int
        Serial of the last entry of the page.
    more : bool
    unsure_in_s : float
        Time left in which an absent key proves nothing.
    """

    ready: bool
    entries: tuple[ClaimEntryCopy, ...] = ()
    last_serial: int = 0
    has_more: bool = False
    unsure_in_s: float = 0.0


class ClaimGroupUpdate(msgspec.Struct, frozen=True, tag="claim_group", array_like=True):
    """A group that the receiver seems not to have heard of."""

    group: ClaimGroup


class ClaimStatusRequest(
    msgspec.Struct, frozen=True, tag="claim_status", array_like=True
):
    """Ask which epoch of a group the receiver is active in."""

    group: ClaimGroup


class ClaimStatusReply(
    msgspec.Struct, frozen=True, tag="claim_status_reply", array_like=True
):
    """Answer to `ClaimStatusRequest`; 0 if it is in none."""

    active_epoch: int


MESSAGES = (
    ClaimAck,
    ClaimGroupUpdate,
    ClaimPage,
    ClaimPull,
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatusReply,
    ClaimStatusRequest,
)
