"""Messages between nodes that share digests of requests that crash servers."""

import msgspec


class MarkSuspect(msgspec.Struct, frozen=True, tag="mark_suspect", array_like=True):
    """Tell that a server went down while it ran requests of a digest.

    Attributes
    ----------
    service, digest : str
    origin : str
        Address of the node whose server went down first; it grants reruns.
    condemned : bool
        True after a second crash: the digest must not run any more.
    ttl_s : float
        How long to remember it.
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
        True if the answering node's server runs the digest now. The node then owes
        a verdict, or `ReturnRerun`, as if it had asked for a rerun.
    """

    digest: str
    running: bool


class ClearSuspect(msgspec.Struct, frozen=True, tag="clear_suspect", array_like=True):
    """Tell that a digest was found not to crash servers."""

    service: str
    digest: str


class AskRerun(msgspec.Struct, frozen=True, tag="ask_rerun", array_like=True):
    """Ask the origin of a suspect digest to let one request of it run alone."""

    service: str
    digest: str


class GrantRerun(msgspec.Struct, frozen=True, tag="grant_rerun", array_like=True):
    """Answer to `AskRerun`; one grant is out at a time.

    Attributes
    ----------
    digest : str
    granted : bool
    cleared : bool
        True if the digest was found harmless since it was marked.
    """

    digest: str
    granted: bool
    cleared: bool = False


class ReturnRerun(msgspec.Struct, frozen=True, tag="return_rerun", array_like=True):
    """Give a grant back: the request did not run, or ended without a verdict."""

    service: str
    digest: str


class ListSuspects(msgspec.Struct, frozen=True, tag="list_suspects", array_like=True):
    """Ask for all suspects of a service, after a start."""

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
