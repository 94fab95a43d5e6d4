"""Detection and isolation of requests that may crash the servers that run them."""

from sapphireway_coordination.suspects._events import (
    SuspectChange,
    SuspectMarked,
)
from sapphireway_coordination.suspects._exchange import (
    GetNodes,
    SuspectExchange,
)
from sapphireway_coordination.suspects._table import (
    RunPermission,
    SuspectTable,
)

__all__ = [
    "GetNodes",
    "RunPermission",
    "SuspectChange",
    "SuspectExchange",
    "SuspectMarked",
    "SuspectTable",
]
