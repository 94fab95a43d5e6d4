"""Interface between the operator API and the node."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway_state import (
    ControlHostsChange,
    ControlHostsReport,
    LiveServers,
    SettingsView,
    StatusReport,
)

UNREADABLE_ANSWER = "a control host of another version sent a malformed answer"


class Unavailable(msgspec.Struct, frozen=True):
    """Result: no quorum of control hosts answered.

    Attributes
    ----------
    detail : str
    maybe_applied : bool
        Whether the change may have been accepted nevertheless.
    """

    detail: str
    maybe_applied: bool = False


class ChangeRefused(msgspec.Struct, frozen=True):
    """Result: a change of the control hosts was refused without being tried.

    Attributes
    ----------
    detail : str
    can_be_forced : bool
        Whether the change is made if it is forced.
    """

    detail: str
    can_be_forced: bool = False


FindStaleness = Callable[[], Awaitable[str | None]]
"""Returns why an order must not be carried out any more, or None."""


class OperatorBackend(msgspec.Struct, frozen=True):
    """Functions of the node that the operator API calls.

    Attributes
    ----------
    propose : callable
        Commits a command of `SettingsMachine` and returns the machine's answer.
    read : callable
        Sends an encoded query to the current `SettingsMachine`.
    get_view : callable
        Returns the tree in force at this node.
    list_live : callable
        Returns the live servers known to the reachable control hosts.
    get_status : callable
    list_control_hosts : callable
    change_control_hosts : callable
        Adds and removes control hosts and returns the resulting report; takes the
        change and a function that returns why it must not be made any more, or None.
    get_explanations : callable
        Takes service, server and call id, each possibly None; returns recent decisions
        as flat JSON objects.
    get_traces : callable
        Takes a trace id or None and a limit; returns spans as JSON objects.
    render_metrics : callable
        Returns the Prometheus text format.
    export_histograms : callable
        Returns name, labels and HdrHistogram encoding of each latency histogram.
    get_faults : callable
        Returns the faults of this node; an empty list if it is healthy.
    get_token : callable
        Returns the operator's token, or None if there is none.
    wall_clock : callable
        Seconds since the epoch, for the history.
    log_event : callable
        Takes an event name and the event's fields as keywords.
    """

    propose: Callable[[bytes], Awaitable[bytes | Unavailable]]
    read: Callable[[bytes], Awaitable[bytes | Unavailable]]
    get_view: Callable[[], SettingsView]
    list_live: Callable[[], Awaitable[list[LiveServers]]]
    get_status: Callable[[], Awaitable[StatusReport]]
    list_control_hosts: Callable[[], Awaitable[ControlHostsReport]]
    change_control_hosts: Callable[
        [ControlHostsChange, FindStaleness],
        Awaitable[ControlHostsReport | ChangeRefused | Unavailable],
    ]
    get_explanations: Callable[
        [str | None, str | None, str | None], list[dict[str, Any]]
    ]
    get_traces: Callable[[str | None, int], list[dict[str, Any]]]
    render_metrics: Callable[[], str]
    export_histograms: Callable[[], list[dict[str, Any]]]
    get_faults: Callable[[], list[str]]
    get_token: Callable[[], str | None]
    wall_clock: Callable[[], float]
    log_event: Callable[..., None]
