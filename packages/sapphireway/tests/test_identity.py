import asyncio

import msgspec
import pytest

from sapphireway._callers import CallerApi, CallerDialect, render_outcome
from sapphireway._decisions import DecisionLog
from sapphireway._identity import (
    CallUnadmitted,
    KeyRefused,
    decode_access_key,
    make_identify,
)
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway._observations import make_observe
from sapphireway_protocol import Answered, NotRun, NotRunReason
from sapphireway_state import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    RouteView,
    ServiceSpec,
    SettingsView,
    Workspace,
    digest_access_key,
)
from sapphireway_transport import HttpRequest

WORKSPACES = (
    Workspace("north", ("key-n", "key-ä"), priority=0),
    Workspace("größe", ("key-s",)),
)
UNCONFIRMED = NotRun(NotRunReason.UNCONFIRMED, 0.5, "no proof")


def make_route(name, **changes):
    target = (RouteTarget("s"),)
    kind = RequestKind.ONCE
    return Route(name, "a", f"/{name}/", kind, 800.0, target, priority=3, **changes)


def make_table(workspaces=WORKSPACES):
    routes = (make_route("keyed"), make_route("open", open_access=True))
    services = (ServiceSpec("s"),)
    return RouteTable(1, services, ("a",), routes, workspaces=workspaces)


class RecordingLog(EventLog):
    def __init__(self, logged):
        super().__init__(lambda: 0.0)
        self.logged = logged

    def _emit(self, level, event, fields):
        self.logged.append((event, fields))


class Entry:
    """A callers' interface whose confirmation and admission a test decides."""

    def __init__(self, table, observe=None, expects_keys=False):
        self.calls = []
        self.arrivals = []
        self.events = []
        self.admitted = []
        self.logged = []
        self.routes = RouteView(table, 1)
        self.unconfirmed = self.not_recent = self.not_admitted = None
        self.during_confirm = lambda: None
        self.metrics = Metrics()
        log = RecordingLog(self.logged)
        dialect = CallerDialect(render_outcome)
        self.api = CallerApi(
            lambda: SettingsView({}, 1),
            "domain",
            lambda: "call-1",
            lambda service, key: None,
            self._execute,
            self.metrics,
            log,
            lambda: self.routes,
            dialect,
            make_identify(
                lambda: self.routes,
                dialect.access_header,
                dialect.workspace_header,
                self._confirm,
                self._admit,
                observe or self.events.append,
            ),
            expects_keys,
        )

    async def _execute(self, call, arrival):
        self.calls.append(call)
        self.arrivals.append(arrival)
        return arrival.refusal or Answered(200, (), b"")

    async def _confirm(self, deadline_s, recent):
        self.during_confirm()
        return self.unconfirmed or (self.not_recent if recent else None)

    async def _admit(self, workspace, deadline_s):
        self.admitted.append(workspace.name)
        return self.not_admitted

    def send(self, path, *headers):
        request = HttpRequest("GET", path, (("Host", "a"), *headers), b"", "remote")

        async def handle():
            self.api.prepare(request)
            return await self.api.handle(request)

        return asyncio.run(handle())


@pytest.fixture
def entry():
    return Entry(make_table())


def with_key(key):
    return ("sapphireway-api-key", key)


def test_known_key_sets_workspace_and_priority(entry):
    claimed = ("Sapphireway-Workspace", "other")
    underscore = ("sapphireway_workspace", "other")
    answer = entry.send("/keyed/1", claimed, with_key("key-n"), underscore, ("X", "1"))
    (call,) = entry.calls
    assert answer.status == 200
    assert call.headers == (
        ("Host", "a"),
        ("X", "1"),
        ("Sapphireway-Workspace", "north"),
    )
    assert (call.workspace, call.policy.weight) == ("north", 100)
    assert entry.admitted == ["north"]


def test_workspace_without_priority_keeps_that_of_the_route(entry):
    entry.send("/keyed/1", with_key("key-s"))
    assert entry.calls[0].policy.weight == 97
    assert entry.calls[0].workspace == "größe"
    # Header values are sent as Latin-1, and the name as UTF-8.
    value = dict(entry.calls[0].headers)["Sapphireway-Workspace"]
    assert value.encode("latin-1").decode() == "größe"


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ((), "api_key_missing"),
        ((with_key(""),), "api_key_missing"),
        ((with_key("key-secret"),), "api_key_unknown"),
        ((with_key("key-secret"), with_key("key-n")), "api_key_unknown"),
    ],
)
def test_missing_or_unknown_key_is_refused(entry, headers, reason):
    answer = entry.send("/keyed/1", *headers)
    assert answer.status == 401 and entry.calls == entry.admitted == []
    assert dict(answer.headers)["Sapphireway-Reason"] == reason
    ((event, fields),) = entry.logged
    assert (event, fields["status"], fields["call"]) == ("bad_request", 401, "call-1")
    assert 'sapphireway_bad_requests_total{status="401"} 1' in entry.metrics.render()
    (refused,) = entry.events
    assert isinstance(refused, KeyRefused) and refused.reason == reason
    known = digest_access_key("key-secret") if reason == "api_key_unknown" else ""
    assert refused.key_digest == fields["key_digest"] == known
    assert "key-secret" not in f"{fields} {refused} {answer}"


@pytest.mark.parametrize(
    ("key", "workspace"), [("key-n", "north"), ("key-secret", ""), (None, "")]
)
def test_open_route_needs_no_key_and_passes_none_on(entry, key, workspace):
    headers = [with_key(key)] if key else []
    answer = entry.send("/open/1", ("Sapphireway-Workspace", "other"), *headers)
    (call,) = entry.calls
    assert (answer.status, call.workspace) == (200, workspace)
    sent = dict(call.headers)
    assert sent.get("Sapphireway-Workspace", "") == workspace
    assert "key" not in str(sent)


def test_table_without_workspaces_changes_no_header():
    entry = Entry(make_table(()))
    headers = (with_key("key-n"), ("Sapphireway-Workspace", "other"))
    assert entry.send("/keyed/1", *headers).status == 200
    assert entry.calls[0].headers == (("Host", "a"), *headers)
    assert entry.calls[0].policy.weight == 97
    assert entry.admitted == entry.events == []


@pytest.mark.parametrize("key", ["key-n", "key-secret"])
def test_unconfirmed_table_refuses_keyed_requests(entry, key):
    # A node that is cut off may not know a new key yet, so 401 could be wrong.
    entry.unconfirmed = UNCONFIRMED
    answer = entry.send("/keyed/1", with_key(key))
    assert answer.status == 503 and entry.calls == entry.admitted == []
    assert dict(answer.headers)["Sapphireway-Reason"] == "unconfirmed"
    assert dict(answer.headers)["Retry-After-Ms"] == "500"
    (event,) = entry.events
    assert isinstance(event, CallUnadmitted) and event.reason == "unconfirmed"


@pytest.mark.parametrize(("key", "status"), [("key-n", 200), ("key-secret", 503)])
def test_unknown_key_needs_a_recent_confirmation(entry, key, status):
    entry.not_recent = UNCONFIRMED
    assert entry.send("/keyed/1", with_key(key)).status == status


@pytest.mark.parametrize("confirmed", [False, True])
@pytest.mark.parametrize("key", ["key-n", "key-secret"])
def test_table_without_workspaces_passes_no_key_on(key, confirmed):
    """A node without the first workspaces passed keys on and ran unknown ones."""
    entry = Entry(make_table(()), expects_keys=True)
    entry.not_recent = None if confirmed else UNCONFIRMED
    headers = (with_key(key), ("sapphireway_workspace", "other"))
    answer = entry.send("/keyed/1", *headers)
    assert entry.admitted == []
    if confirmed:
        (call,) = entry.calls
        assert (answer.status, call.workspace) == (200, "")
        assert call.headers == (("Host", "a"),)
    else:
        assert answer.status == 503 and entry.calls == []


def test_table_without_workspaces_needs_no_proof_for_requests_without_keys():
    entry = Entry(make_table(()), expects_keys=True)
    entry.unconfirmed = UNCONFIRMED
    claimed = ("Sapphireway-Workspace", "other")
    assert entry.send("/keyed/1", claimed).status == 200
    assert entry.calls[0].headers == (("Host", "a"),)


@pytest.mark.parametrize(("key", "status"), [("key-n", 200), ("key-secret", 401)])
def test_first_workspaces_that_arrive_during_the_proof_are_used(key, status):
    entry = Entry(make_table(()), expects_keys=True)

    def publish():
        entry.routes = RouteView(make_table(), 2)

    entry.during_confirm = publish
    assert entry.send("/keyed/1", with_key(key)).status == status
    assert [call.workspace for call in entry.calls] == ["north"] * (status == 200)


def test_route_that_is_closed_during_the_proof_needs_a_known_key(entry):
    closed = tuple(make_route(name) for name in ("keyed", "open"))
    table = msgspec.structs.replace(make_table(), routes=closed)

    def publish():
        entry.routes = RouteView(table, 2)

    entry.during_confirm = publish
    assert entry.send("/open/1", with_key("key-secret")).status == 401
    assert entry.calls == []


@pytest.mark.parametrize("key", ["key-n", "key-secret"])
def test_unconfirmed_key_is_not_dropped_on_an_open_route(entry, key):
    """The server took the request of a workspace for one without."""
    entry.unconfirmed = UNCONFIRMED
    assert entry.send("/open/1", with_key(key)).status == 503
    assert entry.calls == []


@pytest.mark.parametrize(("key", "status"), [("key-n", 200), ("key-secret", 503)])
def test_unknown_key_on_an_open_route_needs_a_recent_confirmation(entry, key, status):
    entry.not_recent = UNCONFIRMED
    assert entry.send("/open/1", with_key(key)).status == status


def test_open_route_is_served_without_a_key_by_an_unconfirmed_table(entry):
    entry.unconfirmed = UNCONFIRMED
    assert entry.send("/open/1").status == 200
    assert entry.calls[0].workspace == ""


def test_key_is_looked_up_in_the_table_that_was_confirmed(entry):
    # The key's removal came into force while the request waited for the proof.
    removed = (Workspace("north", ("new",)),)

    def publish():
        entry.routes = RouteView(make_table(removed), 2)

    entry.during_confirm = publish
    assert entry.send("/keyed/1", with_key("key-n")).status == 401


def test_request_that_is_not_admitted_is_not_run(entry):
    entry.not_admitted = NotRun(NotRunReason.QUOTA, 2.0, "over the limit")
    answer = entry.send("/keyed/1", with_key("key-n"))
    assert dict(answer.headers)["Sapphireway-Reason"] == "quota"
    assert entry.calls == []
    assert [event.workspace for event in entry.events] == ["north"]


def test_refused_request_with_idempotency_key_asks_its_claim(entry):
    # An earlier request with the same idempotency key may have run.
    entry.unconfirmed = UNCONFIRMED
    headers = (with_key("key-n"), ("Idempotency-Key", "i"))
    assert entry.send("/keyed/1", *headers).status == 503
    assert entry.arrivals[0].refusal is UNCONFIRMED
    assert entry.calls[0].workspace == "north"
    assert "key-n" not in str(entry.calls[0].headers)


def test_refused_request_of_unknown_workspace_gets_no_recorded_answer(entry):
    entry.unconfirmed = UNCONFIRMED
    headers = (with_key("key-secret"), ("Idempotency-Key", "i"))
    assert entry.send("/keyed/1", *headers).status == 504
    assert entry.calls == []


def test_refusal_is_logged_under_its_call_and_explained():
    logged, decisions, metrics = [], DecisionLog(), Metrics()
    observe = make_observe(decisions, metrics, RecordingLog(logged))
    entry = Entry(make_table(), observe)
    entry.unconfirmed = UNCONFIRMED
    entry.send("/keyed/1", with_key("key-n"))
    ((event, fields),) = logged
    assert (event, fields["call"], fields["workspace"]) == (
        "call_unadmitted",
        "call-1",
        "north",
    )
    (explained,) = decisions.explain(call="call-1")
    assert (explained["event"], explained["detail"]) == ("CallUnadmitted", "no proof")
    assert 'event="CallUnadmitted",service="s"' in metrics.render()


def test_access_key_in_a_header_is_utf8(entry):
    value = "key-ä".encode().decode("latin-1")
    assert decode_access_key(value) == "key-ä"
    assert entry.send("/keyed/1", with_key(value)).status == 200
    assert decode_access_key("\xff") == "\ufffd" and decode_access_key(None) is None
