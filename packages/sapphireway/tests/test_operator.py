import http.client
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.malformed import make_odd_json, make_settings

from sapphireway._operator_backend import ChangeRefused, Unavailable
from sapphireway_state import (
    ControlHostsReport,
    ControlHostStatus,
    LiveServers,
    StatusReport,
)

SET_WEIGHT = {"op": "set", "path": "weight", "value": 5}
TAKE_OUT = {"op": "set", "path": "domains/bxl-a/out", "value": True}


@pytest.fixture
def ask(operator_node):
    def ask(method, path, body=None, token=None):
        connection = http.client.HTTPConnection(operator_node.address, timeout=5)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        content = body if isinstance(body, (str, type(None))) else json.dumps(body)
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        text = response.read()
        connection.close()
        is_json = response.headers["Content-Type"] == "application/json"
        return response.status, json.loads(text) if is_json else text.decode()

    return ask


@pytest.fixture
def post(ask, operator_node):
    def post(edit_id, base, *operations, **more):
        body = {
            "edit_id": edit_id,
            "base": base,
            "operations": operations,
            "operator": "an",
            **more,
        }
        return ask("POST", "/v1/edits", body, operator_node.token)

    return post


def test_edit_is_accepted_and_read_back(post, ask):
    assert post("a", 0, SET_WEIGHT) == (200, {"type": "accepted", "version": 1})
    status, reply = ask("GET", "/v1/settings?path=weight")
    assert (status, reply["version"], reply["value"]) == (200, 1, 5)
    assert reply["sources"] == [{"name": "weight", "value": 5, "node": ""}]
    assert ask("GET", "/v1/history")[1]["entries"][0]["time_s"] == 1_000_000.0
    changes = ask("GET", "/v1/changes?since=0")[1]["changes"]
    assert changes == [{"path": "weight", "before": None, "after": 5}]


def test_edit_answers_have_distinct_statuses(post, operator_node):
    post("a", 0, SET_WEIGHT)
    status, reply = post("b", 0, SET_WEIGHT)
    assert (status, reply["type"], reply["version"]) == (409, "conflict", 1)
    assert reply["changes"][0]["path"] == "weight"
    status, reply = post("c", 1, {"op": "set", "path": "weight", "value": 0})
    assert (status, reply["problems"][0]["allowed"]) == (422, "integer 1 to 100")
    operator_node.state.live = [LiveServers("ledger", "bxl-a", ["l1"])]
    status, reply = post("d", 1, TAKE_OUT)
    assert (status, reply["lost"]) == (
        412,
        [{"service": "ledger", "domains": ["bxl-a"]}],
    )
    assert post("e", 1, TAKE_OUT, force=True)[0] == 200


@pytest.mark.parametrize("token", [None, "wrong", "0123456789abcdef-tokem", "é"])
def test_edit_without_token_is_refused_and_logged(ask, operator_node, token):
    body = {"edit_id": "a", "base": 0, "operations": [SET_WEIGHT], "operator": "an"}
    status, reply = ask("POST", "/v1/edits", body, token)
    assert (status, reply["error"]) == (401, "unauthorized")
    assert operator_node.state.machine.version == 0
    [(name, fields)] = operator_node.state.events
    assert (name, fields["path"]) == ("operator_unauthorized", "/v1/edits")


def test_node_without_token_refuses_edits(ask, operator_node):
    operator_node.state.token = None
    assert ask("POST", "/v1/edits", {}, "None")[0] == 401


@pytest.mark.parametrize(
    "body",
    [
        "",
        "{",
        "[]",
        '{"edit_id": "a", "base": 0, "operations": [], "operator": "x", "more": 1}',
        '{"edit_id": "a", "base": "0", "operations": [], "operator": "x"}',
        '{"edit_id": "a", "base": 0, "operations": [{"op": "add"}], "operator": "x"}',
        '{"edit_id": "a", "base": 0, "operator": "x", "operations": '
        '[{"op": "set", "path": "weight", "value": 1' + "0" * 40 + "}]}",
        "[" * 100_000,
        '{"edit_id": "a", "base": 0, "operator": "x", "operations": '
        '[{"op": "set", "path": "weight", "value": ' + "[" * 9 + "]" * 9 + "}]}",
    ],
)
def test_malformed_edit_is_refused(ask, operator_node, body):
    status, reply = ask("POST", "/v1/edits", body, operator_node.token)
    assert (status, reply["error"]) == (400, "bad_request")
    assert operator_node.state.machine.index == 0


def test_lost_quorum_is_reported(post, ask, operator_node):
    operator_node.state.answers_to_lose = 1
    assert post("a", 0, SET_WEIGHT)[1]["error"] == "unknown"
    assert post("a", 0, SET_WEIGHT) == (200, {"type": "accepted", "version": 1})
    operator_node.state.unavailable = True
    assert post("b", 1, SET_WEIGHT)[1]["error"] == "unavailable"
    assert ask("GET", "/v1/settings")[0] == 503
    assert ask("GET", "/v1/settings?local=1")[1]["value"] == {"weight": 5}


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/nothing", 404),
        ("GET", "/v1/settings?path=weigth", 404),
        ("GET", "/v1/settings?path=servers/s1", 404),
        ("GET", "/v1/history?limit=x", 400),
        ("GET", "/v1/changes?since=-1", 400),
        ("DELETE", "/v1/settings", 405),
        ("GET", "/v1/edits", 405),
    ],
)
def test_bad_request_is_answered_with_detail(ask, method, path, status):
    actual_status, reply = ask(method, path)
    assert actual_status == status
    assert reply["detail"]


def test_status_explanations_traces_metrics_and_health_are_served(ask, operator_node):
    state = operator_node.state
    state.status = StatusReport(4, [], [])
    state.explanations = [{"service": "ledger", "reason": "x"}, {"service": "other"}]
    state.traces = [{"trace": "t1"}, {"trace": "t2"}]
    assert ask("GET", "/v1/status")[1]["version"] == 4
    assert len(ask("GET", "/v1/explanations?service=ledger")[1]) == 1
    assert ask("GET", "/v1/traces?trace=t2")[1] == [{"trace": "t2"}]
    assert len(ask("GET", "/v1/traces?limit=1")[1]) == 1
    assert ask("GET", "/metrics")[1].startswith("sapphireway_calls_total")
    histograms = ask("GET", "/metrics/histograms")[1]
    assert "sapphireway_call_seconds" in str(histograms)
    assert ask("GET", "/health") == (200, {"healthy": True, "faults": []})
    state.faults = ["disk"]
    assert ask("GET", "/health")[0] == 503


def test_control_hosts_are_listed_and_changed(ask, operator_node):
    state = operator_node.state
    host = ControlHostStatus("127.0.0.1:7100", "voter", True, "leader", 3, 9, 9, "ok")
    state.control_hosts = ControlHostsReport([host], host.address, "c1")
    status, reply = ask("GET", "/v1/control-hosts")
    assert (status, reply["hosts"][0]["role"]) == (200, "leader")
    body = {"operator": "an", "add": ["127.0.0.4:7100"], "reason": "bxl-b moves"}
    status, reply = ask("POST", "/v1/control-hosts", body, operator_node.token)
    assert (status, reply["cluster_id"]) == (200, "c1")
    assert state.changes[0].add == ["127.0.0.4:7100"]
    [(name, fields)] = state.events
    assert name == "control_hosts_change" and fields["accepted"]
    assert (fields["operator"], fields["reason"]) == ("an", "bxl-b moves")


@pytest.mark.parametrize("path", ["/v1/control-hosts", "/v1/rollouts"])
def test_order_read_right_after_a_long_stall_is_not_carried_out(
    ask, operator_node, path
):
    """Its sender has gone on, and later orders may have overtaken it."""
    bodies = {
        "/v1/control-hosts": {"operator": "an", "remove": ["127.0.0.4:7100"]},
        "/v1/rollouts": {"service": "ledger", "version": "v2", "duration_ms": 9e3},
    }
    operator_node.state.time_s += 11.0
    status, reply = ask("POST", path, bodies[path], operator_node.token)
    assert (status, reply["error"]) == (503, "unavailable")
    assert operator_node.state.changes == []


@pytest.mark.parametrize(
    ("result", "status", "error"),
    [
        (ChangeRefused("no such host"), 422, "refused"),
        (ChangeRefused("too few", can_be_forced=True), 412, "force_needed"),
        (Unavailable("no quorum"), 503, "unavailable"),
        (Unavailable("no answer", maybe_applied=True), 503, "unknown"),
    ],
)
def test_failed_control_hosts_change_is_reported(
    ask, operator_node, result, status, error
):
    operator_node.state.change_result = result
    body = {"operator": "an", "remove": ["127.0.0.4:7100"]}
    actual_status, reply = ask("POST", "/v1/control-hosts", body, operator_node.token)
    assert (actual_status, reply) == (
        status,
        {"error": error, "detail": result.detail},
    )


@pytest.mark.parametrize(
    "body",
    [
        "",
        {"operator": "an"},
        {"add": ["127.0.0.4:7100"]},
        {"operator": "an", "add": ["localhost:7100"]},
        {"operator": "an", "add": ["127.0.0.4:7100", "127.0.0.4:7100"]},
        {"operator": "an", "remove": [7]},
        {"operator": "an", "remove": ["127.0.0.4:7100"], "more": 1},
    ],
)
def test_malformed_control_hosts_change_is_refused(ask, operator_node, body):
    status, reply = ask("POST", "/v1/control-hosts", body, operator_node.token)
    assert (status, reply["error"]) == (400, "bad_request")
    assert ask("POST", "/v1/control-hosts", body, "wrong")[0] == 401
    assert not operator_node.state.changes


VALID_BODIES = {
    "/v1/edits": {
        "edit_id": "a",
        "base": 0,
        "operations": [SET_WEIGHT],
        "operator": "an",
        "reason": "",
        "force": False,
    },
    "/v1/control-hosts": {
        "add": ["10.0.0.1:7400"],
        "remove": [],
        "operator": "an",
        "reason": "",
        "force": False,
    },
}


def test_any_body_is_answered_and_the_interface_goes_on(ask, operator_node):
    @make_settings(60)
    @given(st.sampled_from(sorted(VALID_BODIES)), st.data())
    def send(path, data):
        body = data.draw(make_odd_json(VALID_BODIES[path]))
        status, _ = ask("POST", path, body.decode("latin-1"), operator_node.token)
        assert status in (200, 400, 409, 412, 422, 503)
        assert ask("GET", "/v1/settings")[0] == 200

    send()


@pytest.mark.parametrize("path", ["settings", "history", "changes", "traces"])
@pytest.mark.parametrize(
    "query", ["path=%ff", "path=//", "limit=-1", "since=" + "9" * 5000, "limit=%D9%A3"]
)
def test_odd_query_is_answered(ask, path, query):
    assert ask("GET", f"/v1/{path}?{query}")[0] in (200, 400, 404)
