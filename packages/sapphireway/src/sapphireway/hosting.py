"""What an adapter needs to run a node with its own edges."""

from sapphireway._callers import CallerForm, filter_headers, render_outcome
from sapphireway._edges import Edges
from sapphireway._logs import EventLog, configure_logs
from sapphireway._main import run_node
from sapphireway._node import Node
from sapphireway._operator_backend import Unavailable
from sapphireway._publisher import Publisher

__all__ = [
    "CallerForm",
    "Edges",
    "EventLog",
    "Node",
    "Publisher",
    "Unavailable",
    "configure_logs",
    "filter_headers",
    "render_outcome",
    "run_node",
]
