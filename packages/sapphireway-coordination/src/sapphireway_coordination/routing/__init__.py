"""Routing of calls: load balancing, retries, hedges, budgets and ejection."""

from sapphireway_coordination.routing._budgets import (
    RETRY_TOKENS_MAX,
)
from sapphireway_coordination.routing._call import (
    Call,
)
from sapphireway_coordination.routing._dispatch import (
    Dispatcher,
)
from sapphireway_coordination.routing._events import (
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
    VersionChosen,
)
from sapphireway_coordination.routing._explanation import (
    CallHistory,
    ServerView,
)
from sapphireway_coordination.routing._placement import (
    make_choose_lowest_cost,
)
from sapphireway_coordination.routing._routing import (
    Choose,
    choose_least_in_flight,
    choose_power_of_two,
    choose_predicted,
    choose_random,
    make_choose_round_robin,
)
from sapphireway_coordination.routing._slow_host import (
    estimate_slowed_time,
)
from sapphireway_coordination.routing._version_split import (
    GetRollout,
    VersionSplit,
)

__all__ = [
    "RETRY_TOKENS_MAX",
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
    "GetRollout",
    "MemberEjected",
    "MemberRestored",
    "ObserveCall",
    "ProbeSent",
    "RetryDenied",
    "RevokeSent",
    "ServerView",
    "VersionChosen",
    "VersionSplit",
    "choose_least_in_flight",
    "choose_power_of_two",
    "choose_predicted",
    "choose_random",
    "estimate_slowed_time",
    "make_choose_lowest_cost",
    "make_choose_round_robin",
]
