"""The seam between the operator's address and the node behind it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from sapphireway_state import (
    ControlHostsChange,
    ControlHostsReport,
    LiveServers,
    SettingsView,
    StatusReport,
)


@dataclass(slots=True, frozen=True)
class Unavailable:
    """No quorum of control hosts answered.

    Attributes
    ----------
    detail : str
    may_have_run : bool
        Whether an edit may have been accepted all the same.
    """

    detail: str
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class ChangeRefused:
    """A change of the control hosts was not tried.

    Attributes
    ----------
    detail : str
    force_helps : bool
        Whether it would be made if it were forced.
    """

    detail: str
    force_helps: bool = False


@dataclass(slots=True, frozen=True)
class OperatorBackend:
    """What the operator's address needs of the node.

    Attributes
    ----------
    propose : callable
        Brings a command of `SettingsMachine` through the quorum and returns the
        machine's answer.
    read : callable
        Asks the current `SettingsMachine` an encoded query.
    get_view : callable
        Returns the version of the tree in force at this node.
    list_live : callable
        Returns the live servers that this node can learn of.
    get_status : callable
    list_control_hosts : callable
    change_control_hosts : callable
        Adds and removes control hosts; returns all of them afterwards.
    get_explanations : callable
        Takes service, server and call, each of them or None; returns recent
        decisions as flat JSON objects.
    get_traces : callable
        Takes a trace id or None, and a limit; returns spans as JSON objects.
    render_metrics : callable
        Returns the Prometheus text format.
    export_histograms : callable
        Returns name, labels and HdrHistogram encoding of each latency histogram.
    get_faults : callable
        Returns what is wrong with this node; nothing if it is healthy.
    get_token : callable
        Returns the operator's token; None if there is none.
    read_time_s : callable
        Returns seconds since the epoch, for the history.
    log_event : callable
        Takes an event name and its fields as keywords.
    """

    propose: Callable[[bytes], Awaitable[bytes | Unavailable]]
    read: Callable[[bytes], Awaitable[bytes | Unavailable]]
    get_view: Callable[[], SettingsView]
    list_live: Callable[[], Awaitable[list[LiveServers]]]
    get_status: Callable[[], Awaitable[StatusReport]]
    list_control_hosts: Callable[[], Awaitable[ControlHostsReport]]
    change_control_hosts: Callable[
        [ControlHostsChange],
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
    read_time_s: Callable[[], float]
    log_event: Callable[..., None]
