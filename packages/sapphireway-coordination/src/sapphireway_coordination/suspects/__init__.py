"""Requests that may crash the servers that run them."""

from sapphireway_coordination.suspects._events import (
    SuspectChange,
    SuspectMarked,
)
from sapphireway_coordination.suspects._exchange import (
    GetNodes,
    SuspectExchange,
)
from sapphireway_coordination.suspects._table import (
    SuspectTable,
    Verdict,
)

__all__ = [
    "GetNodes",
    "SuspectChange",
    "SuspectExchange",
    "SuspectMarked",
    "SuspectTable",
    "Verdict",
]
