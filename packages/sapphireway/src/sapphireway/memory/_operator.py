"""In-memory operator backend with one settings machine and no quorum."""

from sapphireway._operator_backend import OperatorBackend, Unavailable
from sapphireway_state import (
    ControlHostsReport,
    SettingsMachine,
    SettingsView,
    StatusReport,
)


class MemoryOperatorBackend:
    """State behind an `OperatorBackend`, set by tests.

    Attributes
    ----------
    change_result : ChangeRefused or Unavailable or None
        Result of changes of the control hosts; None to accept them.
    changes : list of ControlHostsChange
    control_hosts : ControlHostsReport
    machine : SettingsMachine
    live : list of LiveServers
    status : StatusReport
    explanations, traces : list of dict
    faults : list of str
    token : str or None
    events : list of (str, dict)
        Logged events with their fields.
    answers_to_lose : int
        Number of next edits that are accepted but answered with `Unavailable`.
    unavailable : bool
        Whether all edits and queries fail for lack of a quorum.
    """

    __slots__ = (
        "answers_to_lose",
        "change_result",
        "changes",
        "control_hosts",
        "events",
        "explanations",
        "faults",
        "live",
        "machine",
        "status",
        "time_s",
        "token",
        "traces",
        "unavailable",
    )

    def __init__(self, token: str | None = None):
        self.answers_to_lose = 0
        self.change_result = None
        self.changes = []
        self.control_hosts = ControlHostsReport([])
        self.events = []
        self.explanations = []
        self.faults = []
        self.live = []
        self.machine = SettingsMachine()
        self.status = StatusReport(0, [], [])
        self.time_s = 1_000_000.0
        self.token = token
        self.traces = []
        self.unavailable = False

    def make_backend(self) -> OperatorBackend:
        """Return an `OperatorBackend` on this state."""
        return OperatorBackend(
            propose=self._propose,
            read=self._read,
            get_view=self._get_view,
            list_live=self._list_live,
            get_status=self._get_status,
            list_control_hosts=self._list_control_hosts,
            change_control_hosts=self._change_control_hosts,
            get_explanations=self._get_explanations,
            get_traces=self._get_traces,
            render_metrics=lambda: "sapphireway_calls_total 0\n",
            export_histograms=lambda: [{"name": "sapphireway_call_seconds"}],
            get_faults=lambda: self.faults,
            get_token=lambda: self.token,
            wall_clock=lambda: self.time_s,
            log_event=lambda name, **fields: self.events.append((name, fields)),
        )

    async def _list_live(self):
        return self.live

    async def _list_control_hosts(self):
        return self.control_hosts

    async def _change_control_hosts(self, change, find_staleness):
        staleness = await find_staleness()
        if staleness is not None:
            return Unavailable(staleness)
        self.changes.append(change)
        return self.change_result or self.control_hosts

    async def _propose(self, command):
        if self.unavailable:
            return Unavailable("no quorum")
        answer = self.machine.apply(self.machine.index + 1, command)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Unavailable("the leader was lost", maybe_applied=True)
        return answer

    async def _read(self, query):
        if self.unavailable:
            return Unavailable("no quorum")
        return self.machine.read(query)

    def _get_view(self):
        return SettingsView(self.machine.tree, self.machine.version)

    async def _get_status(self):
        return self.status

    def _get_explanations(self, service, server, call):
        filters = {"service": service, "server": server, "call": call}
        return [
            row
            for row in self.explanations
            if all(row.get(name) == value for name, value in filters.items() if value)
        ]

    def _get_traces(self, trace, limit):
        spans = [span for span in self.traces if trace in (None, span["trace"])]
        return spans[:limit]
