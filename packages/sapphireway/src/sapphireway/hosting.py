"""Public interface for adapters that run a node with their own HTTP dialects."""

from sapphireway._bounded_server import make_bounded_server
from sapphireway._callers import CallerDialect, filter_headers, render_outcome
from sapphireway._dialects import Dialects
from sapphireway._logs import EventLog, configure_logs
from sapphireway._main import run_node
from sapphireway._node import Node
from sapphireway._operator_backend import Unavailable
from sapphireway._publisher import EditRefused, Publisher
from sapphireway._rollout_orders import RolloutOrders
from sapphireway._senders import Sender
from sapphireway._stalls import StallWatch

__all__ = [
    "CallerDialect",
    "Dialects",
    "EditRefused",
    "EventLog",
    "Node",
    "Publisher",
    "RolloutOrders",
    "Sender",
    "StallWatch",
    "Unavailable",
    "configure_logs",
    "filter_headers",
    "make_bounded_server",
    "render_outcome",
    "run_node",
]
