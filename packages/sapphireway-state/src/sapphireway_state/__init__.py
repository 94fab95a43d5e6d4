"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._claim_table import ClaimSpace, ClaimTable
from sapphireway_state._policy import Policy

__all__ = ["ClaimSpace", "ClaimTable", "Policy"]
