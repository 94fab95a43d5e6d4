"""What processes keep: the settings tree, the journal and their tables."""

from sapphireway_state._check import check_file
from sapphireway_state._claim_table import ClaimSpace, ClaimTable
from sapphireway_state._edits import (
    Accepted,
    Answer,
    Change,
    Conflict,
    Edit,
    ForceNeeded,
    LiveServers,
    LostService,
    Operation,
    Refused,
    SetValue,
    TooOld,
    UnsetValue,
    decode_answer,
    decode_edit,
    encode_answer,
    encode_edit,
)
from sapphireway_state._follower import Applied, SettingsFollower
from sapphireway_state._invariants import InvariantError, check_invariant
from sapphireway_state._journal import (
    Journal,
    JournalDamaged,
    JournalLimits,
    decode_members,
    encode_members,
)
from sapphireway_state._leases import Lease, LeaseTable, is_newer_entry
from sapphireway_state._machine import SettingsMachine
from sapphireway_state._operations import (
    apply_operations,
    compare_trees,
    exceeds_depth,
    list_operations,
    list_out,
)
from sapphireway_state._operator_api import (
    DomainStatus,
    EditRequest,
    ErrorReply,
    NodeStatus,
    ServerStatus,
    SettingsReply,
    StatusReport,
    sum_domains,
)
from sapphireway_state._policy import Policy
from sapphireway_state._problems import Invalid, Problem, format_problem
from sapphireway_state._process import (
    PROCESS_RULES,
    ProcessSettings,
    check_process,
    load_process,
    parse_process,
)
from sapphireway_state._queries import (
    Changes,
    CurrentTree,
    History,
    HistoryEntry,
    ReadChanges,
    ReadHistory,
    ReadTree,
    decode_result,
    encode_query,
)
from sapphireway_state._recovery import NothingToRecover, Recovered, recover_alone
from sapphireway_state._rules import NAME_ALLOWED
from sapphireway_state._schema import (
    KIND_MATCH,
    SERVICE_MATCH,
    SETTINGS,
    Scope,
    Setting,
)
from sapphireway_state._service_loss import list_left, takes_out
from sapphireway_state._snapshot import Snapshot, decode_snapshot, encode_snapshot
from sapphireway_state._token import read_token
from sapphireway_state._tree import OTHER_KIND, check_tree
from sapphireway_state._view import SettingsView, Source
from sapphireway_state._vote import VoteRecord, Witness, load_vote, save_vote
from sapphireway_state._why import explain_path, get_value
from sapphireway_state._yaml import (
    Document,
    dump_yaml,
    load_tree,
    parse_tree,
    parse_yaml,
)

__all__ = [
    "KIND_MATCH",
    "NAME_ALLOWED",
    "OTHER_KIND",
    "PROCESS_RULES",
    "SERVICE_MATCH",
    "SETTINGS",
    "Accepted",
    "Answer",
    "Applied",
    "Change",
    "Changes",
    "ClaimSpace",
    "ClaimTable",
    "Conflict",
    "CurrentTree",
    "Document",
    "DomainStatus",
    "Edit",
    "EditRequest",
    "ErrorReply",
    "ForceNeeded",
    "History",
    "HistoryEntry",
    "Invalid",
    "InvariantError",
    "Journal",
    "JournalDamaged",
    "JournalLimits",
    "Lease",
    "LeaseTable",
    "LiveServers",
    "LostService",
    "NodeStatus",
    "NothingToRecover",
    "Operation",
    "Policy",
    "Problem",
    "ProcessSettings",
    "ReadChanges",
    "ReadHistory",
    "ReadTree",
    "Recovered",
    "Refused",
    "Scope",
    "ServerStatus",
    "SetValue",
    "Setting",
    "SettingsFollower",
    "SettingsMachine",
    "SettingsReply",
    "SettingsView",
    "Snapshot",
    "Source",
    "StatusReport",
    "TooOld",
    "UnsetValue",
    "VoteRecord",
    "Witness",
    "apply_operations",
    "check_file",
    "check_invariant",
    "check_process",
    "check_tree",
    "compare_trees",
    "decode_answer",
    "decode_edit",
    "decode_members",
    "decode_result",
    "decode_snapshot",
    "dump_yaml",
    "encode_answer",
    "encode_edit",
    "encode_members",
    "encode_query",
    "encode_snapshot",
    "exceeds_depth",
    "explain_path",
    "format_problem",
    "get_value",
    "is_newer_entry",
    "list_left",
    "list_operations",
    "list_out",
    "load_process",
    "load_tree",
    "load_vote",
    "parse_process",
    "parse_tree",
    "parse_yaml",
    "read_token",
    "recover_alone",
    "save_vote",
    "sum_domains",
    "takes_out",
]
