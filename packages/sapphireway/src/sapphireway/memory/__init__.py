"""In-memory implementations of the node's seams, for tests."""

from sapphireway.memory._operator import MemoryOperatorBackend

__all__ = ["MemoryOperatorBackend"]
