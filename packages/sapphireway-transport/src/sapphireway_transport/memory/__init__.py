"""In-memory implementations of the interfaces, for tests on a paused clock."""

from sapphireway_transport.memory._clock import PausedLoop, run_paused
from sapphireway_transport.memory._disk import MemoryDisk, PowerCutError
from sapphireway_transport.memory._network import MemoryEndpoint, MemoryNetwork
from sapphireway_transport.memory._server import MemoryServer

__all__ = [
    "MemoryDisk",
    "MemoryEndpoint",
    "MemoryNetwork",
    "MemoryServer",
    "PausedLoop",
    "PowerCutError",
    "run_paused",
]
