"""Seams between a process and everything outside of it.

Each seam has a real implementation here and a small in-memory one in
``sapphireway_transport.memory``.
"""

from sapphireway_transport._disk import Disk, DiskFailed, FileDisk
from sapphireway_transport._endpoint import Endpoint, Receiver
from sapphireway_transport._server import (
    Broken,
    NotSent,
    Responded,
    ServerClient,
    ServerRequest,
    ServerResult,
)
from sapphireway_transport._zmq import ZmqEndpoint

__all__ = [
    "Broken",
    "Disk",
    "DiskFailed",
    "Endpoint",
    "FileDisk",
    "NotSent",
    "Receiver",
    "Responded",
    "ServerClient",
    "ServerRequest",
    "ServerResult",
    "ZmqEndpoint",
]
