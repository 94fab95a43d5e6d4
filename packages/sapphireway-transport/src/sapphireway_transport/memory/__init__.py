"""In-memory implementations of the seams, for tests on a paused clock."""

from sapphireway_transport.memory._clock import PausedLoop, run_paused
from sapphireway_transport.memory._network import MemoryEndpoint, MemoryNetwork

__all__ = ["MemoryEndpoint", "MemoryNetwork", "PausedLoop", "run_paused"]
