"""Messages that share digests of requests suspected of crashing servers."""

import msgspec


class MarkSuspect(msgspec.Struct, frozen=True, tag="mark_suspect", array_like=True):
    """Notice that a server went down while it was running requests of a digest.

    Attributes
    ----------
    service, digest : str
    origin : str
        Address of the node whose server went down first, which grants reruns.
    condemned : bool
        True after a second crash: requests of the digest must no longer run.
    ttl_s : float
        How long to remember the digest.
    """

    service: str
    digest: str
    origin: str
    condemned: bool
    ttl_s: float


class SuspectAck(msgspec.Struct, frozen=True, tag="suspect_ack", array_like=True):
    """Answer to `MarkSuspect`.

    Attributes
    ----------
    digest : str
    running : bool
        True if the answering node's server is running a request of the digest. As
        after a granted rerun, the node must then report whether the request crashed
        the server, or send `ReturnRerun`.
    """

    digest: str
    running: bool


class ClearSuspect(msgspec.Struct, frozen=True, tag="clear_suspect", array_like=True):
    """Notice that a digest was found harmless."""

    service: str
    digest: str


class AskRerun(msgspec.Struct, frozen=True, tag="ask_rerun", array_like=True):
    """Request to the origin of a suspect digest for an isolated rerun."""

    service: str
    digest: str


class GrantRerun(msgspec.Struct, frozen=True, tag="grant_rerun", array_like=True):
    """Answer to `AskRerun`; at most one grant is outstanding at a time.

    Attributes
    ----------
    digest : str
    granted : bool
    cleared : bool
        True if the digest was found harmless after it had been marked.
    """

    digest: str
    granted: bool
    cleared: bool = False


class ReturnRerun(msgspec.Struct, frozen=True, tag="return_rerun", array_like=True):
    """Return of a grant without a verdict on whether the digest crashes servers."""

    service: str
    digest: str


class ListSuspects(msgspec.Struct, frozen=True, tag="list_suspects", array_like=True):
    """Request, after a start, for all suspects of a service."""

    service: str


class SuspectList(msgspec.Struct, frozen=True, tag="suspect_list", array_like=True):
    """Answer to `ListSuspects`."""

    marks: list[MarkSuspect]


MESSAGES = (
    MarkSuspect,
    SuspectAck,
    ClearSuspect,
    AskRerun,
    GrantRerun,
    ReturnRerun,
    ListSuspects,
    SuspectList,
)
