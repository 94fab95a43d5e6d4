"""What a server tells of itself beside its answers."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SelfReport:
    """Facts in one answer of a server; None where it tells nothing.

    Attributes
    ----------
    slowness : float or None
        How many times longer work takes now than usual, as its host is shared.
    cold_s : float or None
        How much longer the server is cold.
    server : str or None
        Id of the server that answered.
    in_flight : int or None
        Requests that it runs or has queued by its own count.
    slots : int or None
        Requests that it can run at once.
    """

    slowness: float | None = None
    cold_s: float | None = None
    server: str | None = None
    in_flight: int | None = None
    slots: int | None = None
