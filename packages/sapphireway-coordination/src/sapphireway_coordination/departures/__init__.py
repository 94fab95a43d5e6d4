"""Departures of servers, remembered by control hosts for nodes that restart."""

from sapphireway_coordination.departures._client import DepartureClient
from sapphireway_coordination.departures._store import DepartureStore
from sapphireway_coordination.departures._table import (
    UNKNOWN_START_S,
    DepartureTable,
)

__all__ = [
    "UNKNOWN_START_S",
    "DepartureClient",
    "DepartureStore",
    "DepartureTable",
]
