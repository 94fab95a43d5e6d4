"""In-memory implementations of the node's interfaces, for tests."""

from sapphireway.memory._control_client import MemoryControlClient
from sapphireway.memory._operator import MemoryOperatorBackend

__all__ = ["MemoryControlClient", "MemoryOperatorBackend"]
