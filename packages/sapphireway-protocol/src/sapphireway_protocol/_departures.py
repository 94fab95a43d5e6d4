"""Messages that keep the departures of servers on the control hosts."""

import msgspec


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A start of a server that has left or is leaving.

    Attributes
    ----------
    server : str
    start_id : str
        "" if it is not known which start of the server left.
    age_s : float
        Time since the departure.
    """

    server: str
    start_id: str
    age_s: float = 0.0


class RecordDeparture(
    msgspec.Struct, frozen=True, tag="record_departure", array_like=True
):
    """Request to remember a departure; may be repeated."""

    departure: Departure


class DepartureRecorded(
    msgspec.Struct, frozen=True, tag="departure_recorded", array_like=True
):
    """Answer to `RecordDeparture`, once the host remembers the departure."""


class ListDepartures(
    msgspec.Struct, frozen=True, tag="list_departures", array_like=True
):
    """Request for the departures of a server, or of all servers if it is ""."""

    server: str = ""


class DepartureList(msgspec.Struct, frozen=True, tag="departure_list", array_like=True):
    """Answer to `ListDepartures`."""

    departures: list[Departure]


MESSAGES = (RecordDeparture, DepartureRecorded, ListDepartures, DepartureList)
