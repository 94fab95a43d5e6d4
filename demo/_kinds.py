"""Request kinds of both example deployments and their rates in the demonstration."""

from dataclasses import dataclass

PHOTOGRAPH_BYTES = 2 * 1024 * 1024
LOG_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Kind:
    """One request kind and the rate at which the demonstration sends it.

    Attributes
    ----------
    service, name : str
    method, path : str
    body_bytes : int
    idempotent : bool
    rate_per_s : float
    """

    service: str
    name: str
    method: str
    path: str
    body_bytes: int
    idempotent: bool
    rate_per_s: float


KINDS = (
    Kind("matching", "lookup", "GET", "/matching/offers/tutoring", 0, True, 25.0),
    Kind(
        "matching", "confirmation", "POST", "/matching/confirmations", 200, False, 8.0
    ),
    Kind(
        "ledger",
        "photograph",
        "POST",
        "/ledger/photographs",
        PHOTOGRAPH_BYTES,
        False,
        2.0,
    ),
    Kind("ledger", "balance", "GET", "/ledger/balances/42", 0, True, 15.0),
    Kind("portal", "reading", "GET", "/portal/readings/lake-7", 0, True, 25.0),
    Kind("portal", "booking", "POST", "/portal/bookings", 200, False, 8.0),
    Kind(
        "campo",
        "core-photograph",
        "POST",
        "/campo/core-photographs",
        PHOTOGRAPH_BYTES,
        False,
        2.0,
    ),
    Kind(
        "campo", "sounding-log", "POST", "/campo/sounding-logs", LOG_BYTES, False, 4.0
    ),
)
