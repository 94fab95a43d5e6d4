"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._invariants import InvariantError, check_invariant
from sapphireway_state._journal import (
    Journal,
    JournalDamaged,
    JournalLimits,
    decode_members,
    encode_members,
)
from sapphireway_state._policy import Policy
from sapphireway_state._recovery import (
    NothingToRecover,
    Recovered,
    recover_alone,
)
from sapphireway_state._snapshot import Snapshot, decode_snapshot, encode_snapshot
from sapphireway_state._vote import VoteRecord, Witness, load_vote, save_vote

__all__ = [
    "InvariantError",
    "Journal",
    "JournalDamaged",
    "JournalLimits",
    "NothingToRecover",
    "Policy",
    "Recovered",
    "Snapshot",
    "VoteRecord",
    "Witness",
    "check_invariant",
    "decode_members",
    "decode_snapshot",
    "encode_members",
    "encode_snapshot",
    "load_vote",
    "recover_alone",
    "save_vote",
]
