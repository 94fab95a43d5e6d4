"""Events of the suspect table, for metrics, logs and ``explain``."""

import enum
from collections.abc import Callable
from dataclasses import dataclass


class SuspectChange(enum.StrEnum):
    """What became of a suspect digest."""

    MARKED = "marked"
    CONDEMNED = "condemned"
    CLEARED = "cleared"


@dataclass(slots=True, frozen=True)
class SuspectMarked:
    """A digest became suspect of crashing servers, or stopped being so.

    Attributes
    ----------
    digest : str
    change : SuspectChange
    origin : str
        Address of the node that found out.
    """

    digest: str
    change: SuspectChange
    origin: str


ObserveSuspects = Callable[[SuspectMarked], None]
"""Takes every event; must not block."""
