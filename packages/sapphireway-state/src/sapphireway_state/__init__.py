"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._leases import Lease, LeaseTable, is_newer_entry
from sapphireway_state._policy import Policy

__all__ = ["Lease", "LeaseTable", "Policy", "is_newer_entry"]
