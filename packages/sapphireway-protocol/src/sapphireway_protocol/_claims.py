"""Messages of idempotency claims, between claimants and the holders of a group."""

import enum

import msgspec


class GroupHolder(msgspec.Struct, frozen=True, array_like=True):
    """One holder of a claim group; a restarted process counts as a different holder.

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
    """Holders of one shard of a service's claims, as decided by the control quorum.

    Attributes
    ----------
    name : str
        Service name, with the shard if there are several.
    epoch : int
        Number of the group's configuration, counted from 1.
    holders : tuple of GroupHolder
    previous : tuple of GroupHolder
        Holders of the previous epoch, whose claims are taken over.
    lost : bool
        True if the claims of the previous epoch could not be taken over.
    unsure_s : float
        How long after a loss the absence of a key does not prove that it never ran.
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
    """A holder's answer to a claim.

    The first three mean that the holder has recorded the claim for the key, but only
    `GRANTED` is a vote to run the call.

    Attributes
    ----------
    GRANTED
    FENCED
        The call arrived before a release that fenced the key.
    FULL
        Memory use was at its limit when the key was first claimed.
    HELD
        Another claim is recorded for the key.
    DONE
        The outcome of an earlier call with the key is stored.
    UNSURE
        Claims may have been lost, so the absence of the key proves nothing.
    EXHAUSTED
        The memory reserved for refused claims is used up too, or the claim had
        already been released.
    EPOCH
        The request is not for the holder's current epoch or incarnation.
    SYNCING
        The holder may not vote: it is taking over claims, has handed its claims on,
        or has no valid lease.
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
    """Outcome that is returned to later requests with the same key.

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
    """Request for a holder's vote for one call.

    Attributes
    ----------
    group_name : str
    epoch : int
    incarnation : str
        Incarnation of the holder that the request is meant for.
    key : str
    digest : str
        Digest of the request; a key identifies one request only.
    claim : str
        Id of the claiming call.
    round : int
        Number of the claimant's voting round for this call.
    budget_s : float
        Time left until the call's deadline.
    ttl_s : float
        How long to keep the key.
    seen_fence : int
        Highest fence number of this holder known to the claimant when the call arrived.
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
        Latest fence number of the holder.
    claims : tuple of str
        Other claims recorded for the key at this holder.
    same_request : bool
        False if the key was used for a different request.
    overdue : bool
        True if the deadline of every other claim has passed.
    outcome : StoredOutcome or None
    group : ClaimGroup or None
        The holder's group, if its epoch differs from the requested one.
    """

    status: ClaimStatus
    fence: int = 0
    claims: tuple[str, ...] = ()
    same_request: bool = True
    overdue: bool = False
    outcome: StoredOutcome | None = None
    group: ClaimGroup | None = None


class ClaimRelease(msgspec.Struct, frozen=True, tag="claim_release", array_like=True):
    """Release of a claim whose call was not dispatched or certainly did not run.

    Attributes
    ----------
    group_name : str
    epoch : int
    incarnation : str
    key : str
    claim : str
    round : int
        The release cancels votes of this and earlier rounds.
    keep_s : float
        How long to remember the release; 0 if the call will claim again.
    fence : bool
        True if calls that arrived before this release must no longer run.
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
    """Request to store the outcome of a call that held its key at a quorum."""

    group_name: str
    epoch: int
    incarnation: str
    key: str
    digest: str
    claim: str
    ttl_s: float
    outcome: StoredOutcome


class ClaimAck(msgspec.Struct, frozen=True, tag="claim_ack", array_like=True):
    """Answer to `ClaimRelease` and `ClaimRecord`; fields as in `ClaimReply`."""

    done: bool
    fence: int = 0
    group: ClaimGroup | None = None


class ClaimEntryCopy(msgspec.Struct, frozen=True, array_like=True):
    """Copy of a claim table's entry for one key.

    Times are relative to now, because clocks differ between holders.

    Attributes
    ----------
    key, digest : str
    claims : dict of str to int
        Latest round of each claim.
    released : tuple of str
        Claims whose release is remembered.
    fenced : bool
    refuse_only : bool
        True if calls with this key are refused for lack of memory.
    outcome : StoredOutcome or None
    expires_in_s : float
    kept_for_s : float
        Time left for which releases are remembered.
    deadline_in_s : float
        Time left until the latest deadline of the claims.
    """

    key: str
    digest: str
    claims: dict[str, int]
    released: tuple[str, ...]
    fenced: bool
    refuse_only: bool
    outcome: StoredOutcome | None
    expires_in_s: float
    kept_for_s: float
    deadline_in_s: float


class ClaimPull(msgspec.Struct, frozen=True, tag="claim_pull", array_like=True):
    """Request to seal the previous epoch and send the next page of its claims.

    Attributes
    ----------
    group_name : str
    epoch : int
        Epoch that takes over the claims.
    incarnation : str
    after_serial : int
        Serial number of the last entry received.
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
        False if the sender does not hold the claims of the previous epoch.
    entries : tuple of ClaimEntryCopy
    last_serial : int
        Serial number of the last entry of the page.
    has_more : bool
    unsure_in_s : float
        Time left until the absence of a key proves again that it never ran.
    """

    ready: bool
    entries: tuple[ClaimEntryCopy, ...] = ()
    last_serial: int = 0
    has_more: bool = False
    unsure_in_s: float = 0.0


class ClaimGroupUpdate(msgspec.Struct, frozen=True, tag="claim_group", array_like=True):
    """A group whose current epoch the receiver seems not to know."""

    group: ClaimGroup


class ClaimEpochRequest(
    msgspec.Struct, frozen=True, tag="claim_status", array_like=True
):
    """Request for the epoch in which the receiver is active as a holder of a group."""

    group: ClaimGroup


class ClaimEpochReply(
    msgspec.Struct, frozen=True, tag="claim_status_reply", array_like=True
):
    """Answer to `ClaimEpochRequest`; 0 if the sender is active in no epoch."""

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
    ClaimEpochReply,
    ClaimEpochRequest,
)
