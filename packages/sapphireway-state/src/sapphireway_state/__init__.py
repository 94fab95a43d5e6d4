"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._policy import Policy

__all__ = ["Policy"]
