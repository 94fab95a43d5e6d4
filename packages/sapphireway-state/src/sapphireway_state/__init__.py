"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._check import check_file
from sapphireway_state._invariants import InvariantError, check_invariant
from sapphireway_state._journal import (
    Journal,
    JournalDamaged,
    JournalLimits,
    decode_members,
    encode_members,
)
from sapphireway_state._leases import Lease, LeaseTable, is_newer_entry
from sapphireway_state._policy import Policy
from sapphireway_state._problems import Invalid, Problem, format_problem
from sapphireway_state._process import (
    PROCESS_RULES,
    ProcessSettings,
    check_process,
    load_process,
    parse_process,
)
from sapphireway_state._schema import SETTINGS, Scope, Setting
from sapphireway_state._snapshot import Snapshot, decode_snapshot, encode_snapshot
from sapphireway_state._tree import OTHER_KIND, check_tree
from sapphireway_state._view import SettingsView, Source
from sapphireway_state._vote import VoteRecord, Witness, load_vote, save_vote
from sapphireway_state._yaml import (
    Document,
    dump_yaml,
    load_tree,
    parse_tree,
    parse_yaml,
)

__all__ = [
    "OTHER_KIND",
    "PROCESS_RULES",
    "SETTINGS",
    "Document",
    "Invalid",
    "InvariantError",
    "Journal",
    "JournalDamaged",
    "JournalLimits",
    "Lease",
    "LeaseTable",
    "Policy",
    "Problem",
    "ProcessSettings",
    "Scope",
    "Setting",
    "SettingsView",
    "Snapshot",
    "Source",
    "VoteRecord",
    "Witness",
    "check_file",
    "check_invariant",
    "check_process",
    "check_tree",
    "decode_members",
    "decode_snapshot",
    "dump_yaml",
    "encode_members",
    "encode_snapshot",
    "format_problem",
    "is_newer_entry",
    "load_process",
    "load_tree",
    "load_vote",
    "parse_process",
    "parse_tree",
    "parse_yaml",
    "save_vote",
]
