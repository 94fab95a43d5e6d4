"""In-memory implementations of the node's interfaces, for tests."""

from sapphireway.memory._operator import MemoryOperatorBackend

__all__ = ["MemoryOperatorBackend"]
