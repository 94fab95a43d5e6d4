"""In-memory implementations of the seams, for tests on a paused clock."""

from sapphireway_transport.memory._clock import PausedLoop, run_paused
from sapphireway_transport.memory._disk import MemoryDisk, PowerCutError
from sapphireway_transport.memory._network import MemoryEndpoint, MemoryNetwork

__all__ = [
    "MemoryDisk",
    "MemoryEndpoint",
    "MemoryNetwork",
    "PausedLoop",
    "PowerCutError",
    "run_paused",
]
