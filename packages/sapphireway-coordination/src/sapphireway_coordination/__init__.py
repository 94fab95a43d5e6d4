"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

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
from sapphireway_coordination._dispatch import Dispatcher
from sapphireway_coordination._explanation import CallHistory, ServerView
from sapphireway_coordination._invariant import InvariantError, require
from sapphireway_coordination._members import GetMembers, Member
from sapphireway_coordination._routing import (
    Choose,
    choose_least_in_flight,
    choose_predicted,
    choose_random,
    choose_two,
    make_choose_round_robin,
)

__all__ = [
    "AttemptCause",
    "AttemptEnded",
    "AttemptSent",
    "Call",
    "CallEnded",
    "CallEvent",
    "CallHistory",
    "Choose",
    "DenyReason",
    "Dispatcher",
    "GetMembers",
    "InvariantError",
    "Member",
    "MemberEjected",
    "MemberRestored",
    "ObserveCall",
    "ProbeSent",
    "RetryDenied",
    "RevokeSent",
    "ServerView",
    "choose_least_in_flight",
    "choose_predicted",
    "choose_random",
    "choose_two",
    "make_choose_round_robin",
    "require",
]
