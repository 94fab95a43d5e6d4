"""Status that a server reports along with its answers."""

import msgspec


class SelfReport(msgspec.Struct, frozen=True):
    """Status in one answer of a server; None for fields that it does not report.

    Attributes
    ----------
    slowness : float or None
        Factor by which work takes longer than usual because the host is shared.
    cold_s : float or None
        Time until the server has warmed up.
    server : str or None
        Id of the server that answered.
    in_flight : int or None
        Requests that it runs or has queued by its own count.
    slots : int or None
        Requests that it can run concurrently.
    requests_per_s : float or None
        Limit that it sets for all requests together; None if the answer sets none.
    leaving : bool
        The server is about to stop.
    unreadable : tuple of str
        Values in the answer that are malformed and were left out, for the log.
    """

    slowness: float | None = None
    cold_s: float | None = None
    server: str | None = None
    in_flight: int | None = None
    slots: int | None = None
    requests_per_s: float | None = None
    leaving: bool = False
    unreadable: tuple[str, ...] = ()
