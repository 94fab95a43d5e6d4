"""State of processes: settings, the journal, and claim, lease and routing tables."""

import importlib
from typing import Any

from sapphireway_state._claim_table import ClaimMemory, ClaimTable
from sapphireway_state._control_api import (
    CONTROL_HOSTS_MAX,
    CONTROL_VOTERS_MIN,
    ControlHostsChange,
    ControlHostsReport,
    ControlHostStatus,
    find_change_error,
    find_request_error,
    leaves_too_few_voters,
)
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
from sapphireway_state._explanation import explain_path, get_value
from sapphireway_state._follower import SettingsFollower, UpdateResult
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
    list_out_of_service,
)
from sapphireway_state._operator_api import (
    DomainStatus,
    EditRequest,
    ErrorReply,
    NodeStatus,
    ServerStatus,
    SettingsReply,
    StatusReport,
    summarize_domains,
)
from sapphireway_state._policy import Policy
from sapphireway_state._problems import Invalid, Problem, format_problem
from sapphireway_state._process import (
    PROCESS_RULES,
    ProcessSettings,
    check_process_settings,
    load_process_settings,
    parse_process_settings,
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
from sapphireway_state._recovery import (
    NothingToRecover,
    Recovered,
    recover_as_sole_voter,
)
from sapphireway_state._route_machine import (
    CurrentTable,
    Publish,
    Published,
    PublishResult,
    RouteMachine,
    Superseded,
    Unpublishable,
    decode_current_table,
    decode_publish_result,
    encode_publish,
)
from sapphireway_state._route_view import (
    RouteView,
)
from sapphireway_state._routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    TablePatch,
    Workspace,
    apply_patch,
    check_table,
)
from sapphireway_state._rules import NAME_ALLOWED
from sapphireway_state._schema import (
    KIND_MATCH,
    SERVICE_MATCH,
    SETTINGS,
    Scope,
    Setting,
)
from sapphireway_state._service_loss import takes_out_of_service
from sapphireway_state._snapshot import Snapshot, decode_snapshot, encode_snapshot
from sapphireway_state._token import read_token
from sapphireway_state._tree import OTHER_KIND, check_tree
from sapphireway_state._view import SettingsView, Source
from sapphireway_state._vote import StartRecord, VoteRecord, load_vote, save_vote

__all__ = [
    "CONTROL_HOSTS_MAX",
    "CONTROL_VOTERS_MIN",
    "KIND_MATCH",
    "NAME_ALLOWED",
    "OTHER_KIND",
    "PROCESS_RULES",
    "SERVICE_MATCH",
    "SETTINGS",
    "Accepted",
    "Answer",
    "CallerLimits",
    "Change",
    "Changes",
    "ClaimMemory",
    "ClaimTable",
    "Conflict",
    "ControlHostStatus",
    "ControlHostsChange",
    "ControlHostsReport",
    "CurrentTable",
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
    "Publish",
    "PublishResult",
    "Published",
    "ReadChanges",
    "ReadHistory",
    "ReadTree",
    "Recovered",
    "Refused",
    "RequestKind",
    "Route",
    "RouteMachine",
    "RouteTable",
    "RouteTarget",
    "RouteView",
    "Scope",
    "ServerStatus",
    "ServiceSpec",
    "SetValue",
    "Setting",
    "SettingsFollower",
    "SettingsMachine",
    "SettingsReply",
    "SettingsView",
    "Snapshot",
    "Source",
    "StartRecord",
    "StatusReport",
    "Superseded",
    "TablePatch",
    "TooOld",
    "Unpublishable",
    "UnsetValue",
    "UpdateResult",
    "VoteRecord",
    "Workspace",
    "apply_operations",
    "apply_patch",
    "check_file",
    "check_invariant",
    "check_process_settings",
    "check_table",
    "check_tree",
    "compare_trees",
    "decode_answer",
    "decode_current_table",
    "decode_edit",
    "decode_members",
    "decode_publish_result",
    "decode_result",
    "decode_snapshot",
    "dump_yaml",
    "encode_answer",
    "encode_edit",
    "encode_members",
    "encode_publish",
    "encode_query",
    "encode_snapshot",
    "exceeds_depth",
    "explain_path",
    "find_change_error",
    "find_request_error",
    "format_problem",
    "get_value",
    "is_newer_entry",
    "leaves_too_few_voters",
    "list_operations",
    "list_out_of_service",
    "load_process_settings",
    "load_tree",
    "load_vote",
    "parse_process_settings",
    "parse_tree",
    "parse_yaml",
    "read_token",
    "recover_as_sole_voter",
    "save_vote",
    "summarize_domains",
    "takes_out_of_service",
]

# Loaded at their first use, as only the command line and control hosts read YAML.
_LAZY_MODULES = {
    "Document": "_yaml",
    "check_file": "_check",
    "dump_yaml": "_yaml",
    "load_tree": "_yaml",
    "parse_tree": "_yaml",
    "parse_yaml": "_yaml",
}


def __getattr__(name: str) -> Any:
    if name not in _LAZY_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_LAZY_MODULES[name]}")
    return getattr(module, name)
