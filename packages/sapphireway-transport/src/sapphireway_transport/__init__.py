"""Interfaces between a process and its environment.

Each interface has a production implementation here and a small in-memory one for
tests in ``sapphireway_transport.memory``.
"""

from sapphireway_transport._allocator import separate_large_blocks
from sapphireway_transport._connection_limit import ConnectionLimit, ConnectionUse
from sapphireway_transport._curl import CurlServerClient
from sapphireway_transport._disk import Disk, DiskFailed, FileDisk
from sapphireway_transport._endpoint import Endpoint, Receiver
from sapphireway_transport._event_loop import BootTimeLoop
from sapphireway_transport._head_lines import (
    Malformed,
    decode_line,
    find_field_fault,
    read_field_line,
    read_status_line,
)
from sapphireway_transport._host_limits import read_descriptors, read_memory_bytes
from sapphireway_transport._http import HttpListener
from sapphireway_transport._http_messages import (
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    RejectedRequest,
)
from sapphireway_transport._instant import (
    Instant,
    ReadInstant,
    compute_age,
    read_instant,
    shift_back,
)
from sapphireway_transport._memory_budget import (
    LARGE_BODY_BYTES,
    MemoryBudget,
    make_body_budget,
)
from sapphireway_transport._server import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    FINAL_STATUS_MIN,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    STATUS_MAX,
    Broken,
    NeedsEcho,
    NotSent,
    Responded,
    ServerClient,
    ServerRequest,
    ServerResult,
    needs_no_echo,
)
from sapphireway_transport._zmq import ZmqEndpoint

__all__ = [
    "ATTEMPT_ID_HEADER",
    "DEADLINE_HEADER",
    "FINAL_STATUS_MIN",
    "LARGE_BODY_BYTES",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "NOT_RUN_HEADER",
    "REQUEST_ID_HEADER",
    "STATUS_MAX",
    "BootTimeLoop",
    "Broken",
    "ConnectionLimit",
    "ConnectionUse",
    "CurlServerClient",
    "Disk",
    "DiskFailed",
    "Endpoint",
    "FileDisk",
    "HttpAnswer",
    "HttpLimits",
    "HttpListener",
    "HttpRequest",
    "Instant",
    "Malformed",
    "MemoryBudget",
    "NeedsEcho",
    "NotSent",
    "ReadInstant",
    "Receiver",
    "RejectedRequest",
    "Responded",
    "ServerClient",
    "ServerRequest",
    "ServerResult",
    "ZmqEndpoint",
    "compute_age",
    "decode_line",
    "find_field_fault",
    "make_body_budget",
    "needs_no_echo",
    "read_descriptors",
    "read_field_line",
    "read_instant",
    "read_memory_bytes",
    "read_status_line",
    "separate_large_blocks",
    "shift_back",
]
