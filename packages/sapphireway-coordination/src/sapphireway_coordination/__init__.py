"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._announcement import (
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
)
from sapphireway_coordination._budgets import RETRY_TOKENS_MAX
from sapphireway_coordination._call import Call
from sapphireway_coordination._call_events import (
    AttemptCause,
    AttemptEnded,
    AttemptSent,
    CallEnded,
    CallEvent,
    DenyReason,
    MemberEjected,
    MemberRestored,
    ObserveCall,
    ProbeSent,
    RetryDenied,
    RevokeSent,
)
from sapphireway_coordination._claim_client import Fences
from sapphireway_coordination._claim_group import (
    ClaimGroupMachine,
    GroupChange,
    GroupChangeResult,
)
from sapphireway_coordination._claim_holder import (
    ClaimHolder,
    HolderChanged,
    HolderSettings,
    HolderState,
    ReadGroup,
)
from sapphireway_coordination._claim_keeper import (
    ClaimKeeper,
    GroupProposed,
    KeeperSettings,
    Propose,
)
from sapphireway_coordination._claims import (
    KEY_MAX_BYTES,
    Claimant,
    ClaimDelivered,
    ClaimEnd,
    ClaimEnded,
    Dispatch,
)
from sapphireway_coordination._control_client import ControlClient
from sapphireway_coordination._control_host_list import ControlHostList
from sapphireway_coordination._control_machine import (
    GROUP_PREFIX,
    ROUTE_PREFIX,
    TREE_PREFIX,
    ControlMachine,
)
from sapphireway_coordination._directory import Directory
from sapphireway_coordination._dispatch import Dispatcher
from sapphireway_coordination._explanation import CallHistory, ServerView
from sapphireway_coordination._gate import Gate, GateState
from sapphireway_coordination._gate_events import (
    AttemptRefused,
    AttemptRepeated,
    AttemptServed,
    AttemptStarted,
    GateChanged,
    GateEvent,
    LimitChanged,
    RelapseCause,
    RelapseSeen,
    ServerAnnounced,
    ServerCold,
    ServerLeft,
    ServerWarmed,
    SuspectChange,
    SuspectMarked,
)
from sapphireway_coordination._health import ask_health
from sapphireway_coordination._in_force import StateInForce
from sapphireway_coordination._members import (
    GetMembers,
    Member,
    index_members,
    make_member,
)
from sapphireway_coordination._membership import Membership, NodeReport
from sapphireway_coordination._own_server import find_own_server
from sapphireway_coordination._placement import make_choose_placed
from sapphireway_coordination._quorum import Quorum
from sapphireway_coordination._quorum_types import (
    Answer,
    Committed,
    Current,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    Role,
    StateMachine,
    Unavailable,
)
from sapphireway_coordination._routing import (
    Choose,
    choose_least_in_flight,
    choose_predicted,
    choose_random,
    choose_two,
    make_choose_round_robin,
)
from sapphireway_coordination._self_report import SelfReport
from sapphireway_coordination._server_form import (
    OWN_SERVER_FORM,
    ServerForm,
)
from sapphireway_coordination._settings_channel import SettingsChannel
from sapphireway_coordination._shutdown import plan_stop
from sapphireway_transport import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
)

__all__ = [
    "ATTEMPT_ID_HEADER",
    "DEADLINE_HEADER",
    "GROUP_PREFIX",
    "KEY_MAX_BYTES",
    "NOT_RUN_HEADER",
    "OWN_SERVER_FORM",
    "REQUEST_ID_HEADER",
    "RETRY_TOKENS_MAX",
    "ROUTE_PREFIX",
    "TREE_PREFIX",
    "AnnounceAccepted",
    "AnnounceRefused",
    "AnnounceResult",
    "Announcement",
    "Answer",
    "AttemptCause",
    "AttemptEnded",
    "AttemptRefused",
    "AttemptRepeated",
    "AttemptSent",
    "AttemptServed",
    "AttemptStarted",
    "Call",
    "CallEnded",
    "CallEvent",
    "CallHistory",
    "Choose",
    "ClaimDelivered",
    "ClaimEnd",
    "ClaimEnded",
    "ClaimGroupMachine",
    "ClaimHolder",
    "ClaimKeeper",
    "Claimant",
    "Committed",
    "ControlClient",
    "ControlHostList",
    "ControlMachine",
    "Current",
    "DenyReason",
    "Directory",
    "Dispatch",
    "Dispatcher",
    "Fences",
    "Gate",
    "GateChanged",
    "GateEvent",
    "GateState",
    "GetMembers",
    "GroupChange",
    "GroupChangeResult",
    "GroupProposed",
    "HolderChanged",
    "HolderSettings",
    "HolderState",
    "KeeperSettings",
    "LimitChanged",
    "Member",
    "MemberEjected",
    "MemberRestored",
    "Membership",
    "NodeReport",
    "NotLeader",
    "ObserveCall",
    "ProbeSent",
    "Propose",
    "Quorum",
    "QuorumSettings",
    "QuorumStatus",
    "ReadGroup",
    "RelapseCause",
    "RelapseSeen",
    "RetryDenied",
    "RevokeSent",
    "Role",
    "SelfReport",
    "ServerAnnounced",
    "ServerCold",
    "ServerForm",
    "ServerLeft",
    "ServerView",
    "ServerWarmed",
    "SettingsChannel",
    "StateInForce",
    "StateMachine",
    "SuspectChange",
    "SuspectMarked",
    "Unavailable",
    "ask_health",
    "choose_least_in_flight",
    "choose_predicted",
    "choose_random",
    "choose_two",
    "find_own_server",
    "index_members",
    "make_choose_placed",
    "make_choose_round_robin",
    "make_member",
    "plan_stop",
]
