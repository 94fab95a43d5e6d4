"""Events of the suspect table, for metrics, logs and ``explain``."""

import enum
from collections.abc import Callable

import msgspec


class SuspectChange(enum.StrEnum):
    """How the state of a suspect digest changed."""

    MARKED = "marked"
    CONDEMNED = "condemned"
    CLEARED = "cleared"


class SuspectMarked(msgspec.Struct, frozen=True):
    """A digest became suspect of crashing servers, or stopped being so.

    Attributes
    ----------
    digest : str
    change : SuspectChange
    origin : str
        Address of the node that marked the digest first.
    """

    digest: str
    change: SuspectChange
    origin: str


ObserveSuspects = Callable[[SuspectMarked], None]
"""Called with every event; must not block."""
