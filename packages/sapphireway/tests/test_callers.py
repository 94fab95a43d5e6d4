import asyncio

import pytest

from sapphireway._callers import Arrival, CallerApi, filter_headers, render_outcome
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_protocol import Answered, Failed, NotRun, NotRunReason, Unknown
from sapphireway_state import SettingsView
from sapphireway_transport import HttpRequest, RejectedRequest
from sapphireway_transport.memory import run_paused

TREE = {
    "deadline_ms": 500,
    "deadline_max_ms": 2000,
    "services": {
        "ledger": {
            "match": {"path_prefixes": ["/ledger"]},
            "kinds": {
                "photograph": {
                    "match": {"paths": ["/ledger/photographs"]},
                    "body_max_bytes": 1000,
                },
                "balance": {
                    "match": {"paths": ["/ledger/balances/*"]},
                    "idempotent": True,
                },
            },
        }
    },
}


class CallRecorder:
    def __init__(self):
        self.calls = []
        self.outcome = Answered(200, (), b"done")

    async def execute_call(self, call, arrival):
        self.calls.append((call, arrival))
        return self.outcome


@pytest.fixture
def recorder():
    return CallRecorder()


@pytest.fixture
def metrics():
    return Metrics()


def make_api(recorder, metrics, settings):
    return CallerApi(
        lambda: settings,
        "bxl-a",
        lambda: "call-1",
        lambda service, key: f"fences of {key}",
        recorder.execute_call,
        metrics,
        EventLog(lambda: 0.0),
    )


@pytest.fixture
def api(recorder, metrics):
    return make_api(recorder, metrics, SettingsView(TREE, 1))


def make_request(target="/ledger/photographs", headers=(), body=b"", method="POST"):
    return HttpRequest(method, target, headers, body, "127.0.0.1")


def exchange(api, request):
    async def handle():
        api.prepare(request)
        return await api.handle(request)

    return asyncio.run(handle())


def test_request_becomes_call(api, recorder):
    headers = (
        ("Idempotency-Key", "k"),
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("X-End", "2"),
        ("Content-Length", "4"),
    )
    answer = exchange(api, make_request(headers=headers, body=b"body"))
    call, arrival = recorder.calls[0]
    assert answer.status == 200
    assert (call.service, call.kind, call.key) == ("ledger", "photograph", "k")
    assert call.headers == (("Idempotency-Key", "k"), ("X-End", "2"))
    assert call.body == b"body"
    assert arrival == Arrival("fences of k", stopping=False)


@pytest.mark.parametrize(
    ("headers", "timeout_s"),
    [
        ((), 0.5),
        ((("request-timeout-ms", "250"),), 0.25),
        ((("Request-Timeout-Ms", "999999"),), 2.0),
        ((("Request-Timeout-Ms", "9" * 5000),), 2.0),
        ((("Request-Timeout-Ms", "0" * 5000 + "250"),), 0.25),
    ],
)
def test_deadline_is_parsed_and_bounded(api, recorder, headers, timeout_s):
    async def handle():
        started_s = asyncio.get_running_loop().time()
        request = make_request(headers=headers)
        api.prepare(request)
        await api.handle(request)
        return recorder.calls[0][0].deadline_s - started_s

    assert asyncio.run(handle()) == pytest.approx(timeout_s, abs=0.1)


@pytest.mark.parametrize("timeout_ms", ["9" * 12, "9" * 400, "9" * 5000])
def test_timeout_above_the_maximum_does_not_make_later_calls_late(
    recorder, metrics, timeout_ms
):
    tree = TREE | {"target_latency_ms": 300, "deadline_max_ms": 500}
    api = make_api(recorder, metrics, SettingsView(tree, 1))

    async def handle():
        for headers in ((("Request-Timeout-Ms", timeout_ms),), ()):
            request = make_request(headers=headers)
            api.prepare(request)
            started_s = asyncio.get_running_loop().time()
            assert (await api.handle(request)).status == 200
        return recorder.calls[-1][0].target_s - started_s

    assert asyncio.run(handle()) == pytest.approx(0.3, abs=0.1)


@pytest.mark.parametrize(
    ("request_", "status", "line"),
    [
        (make_request("/nowhere"), 404, "no service"),
        (make_request(headers=(("Request-Timeout-Ms", "soon"),)), 400, "Request-Tim"),
        (make_request(headers=(("Request-Timeout-Ms", "0"),)), 400, "Request-Tim"),
        (make_request(headers=(("Request-Timeout-Ms", "-1"),)), 400, "Request-Tim"),
        (make_request(headers=(("Idempotency-Key", ""),)), 400, "Idempotency-Key"),
        (make_request(headers=(("Idempotency-Key", "é" * 129),)), 400, "Idempotency"),
    ],
)
def test_bad_request_is_rejected_and_counted(
    api, recorder, metrics, request_, status, line
):
    answer = exchange(api, request_)
    assert answer.status == status
    assert ("Sapphireway-Outcome", "rejected") in answer.headers
    assert answer.body.decode().startswith(line)
    assert answer.body.count(b"\n") == 1
    assert f'bad_requests_total{{status="{status}"}} 1' in metrics.render()
    assert not recorder.calls


def test_request_that_arrived_before_stop_is_executed(api, recorder):
    async def handle():
        request = make_request()
        api.prepare(request)
        api.stopping = True
        return await api.handle(request)

    answer = asyncio.run(handle())
    assert dict(answer.headers)["Sapphireway-Outcome"] == "answered"
    assert dict(answer.headers)["Connection"] == "close"


@pytest.mark.parametrize(
    ("headers", "body_s", "outcome", "stopping"),
    [
        ((), 0.4, "answered", False),
        ((), 0.6, "not-run", None),
        ((("Request-Timeout-Ms", "300"),), 0.6, "answered", False),
        ((("Idempotency-Key", "k"),), 0.6, "answered", True),
    ],
)
def test_body_that_arrives_too_late_in_a_stop_is_not_run(
    api, recorder, headers, body_s, outcome, stopping
):
    """An upload whose headers came before the stop was passed on and cut."""

    async def handle():
        request = make_request(headers=headers)
        api.prepare(request)
        api.end_s = asyncio.get_running_loop().time() + 1.0
        await asyncio.sleep(body_s)
        return await api.handle(request)

    headers = dict(run_paused(handle()).headers)
    assert headers["Sapphireway-Outcome"] == outcome
    assert [arrival.stopping for _, arrival in recorder.calls] == (
        [] if stopping is None else [stopping]
    )
    assert outcome == "answered" or {"Retry-After", "Connection"} <= headers.keys()


@pytest.mark.parametrize(
    ("target", "headers", "stopping", "refusals"),
    [
        ("/ledger/photographs", (), False, [None, "not-run", "not-run"]),
        ("/ledger/photographs", (), True, ["not-run"] * 3),
        (
            "/ledger/photographs",
            (("Request-Timeout-Ms", "300"),),
            False,
            [None, None, "not-run"],
        ),
        (
            "/ledger/photographs",
            (("Idempotency-Key", "k"),),
            True,
            [None, None, "unknown"],
        ),
        ("/unmatched", (), False, [None, None, "not-run"]),
        ("/unmatched", (("Idempotency-Key", "k"),), False, [None, None, "unknown"]),
    ],
)
def test_incomplete_request_is_refused_once_it_cannot_end_before_a_stop(
    api, target, headers, stopping, refusals
):
    """A body that was still being read when the stop ended was cut unanswered."""

    async def refuse():
        api.stopping = stopping
        request = make_request(target, headers)
        api.prepare(request)
        api.end_s = asyncio.get_running_loop().time() + 1.0
        answers = []
        for wait_s in (0.4, 0.2, 0.5):
            await asyncio.sleep(wait_s)
            answers.append(api.refuse_unread(request))
        return answers

    answers = run_paused(refuse())
    found = [dict(a.headers)["Sapphireway-Outcome"] if a else None for a in answers]
    assert found == refusals
    assert all(dict(a.headers)["Connection"] == "close" for a in answers if a)


def test_call_in_progress_is_answered_as_unknown_when_the_stop_ends(api, recorder):
    """A call that waited for what has no end of its own was cut unanswered."""

    async def hold(call, arrival):
        await asyncio.Event().wait()

    async def end():
        api._execute_call = hold
        request = make_request()
        api.prepare(request)
        task = asyncio.create_task(api.handle(request))
        await asyncio.sleep(0.1)
        ended = api.end_calls()
        answer = await task
        return ended, answer, task.cancelling(), api.end_calls()

    ended, answer, cancelling, left = run_paused(end())
    assert (ended, answer.status, cancelling, left) == (1, 504, 0, 0)
    assert dict(answer.headers)["Sapphireway-Outcome"] == "unknown"


def test_caller_that_leaves_still_cancels_its_call(api):
    async def hold(call, arrival):
        await asyncio.Event().wait()

    async def leave():
        api._execute_call = hold
        request = make_request()
        api.prepare(request)
        task = asyncio.create_task(api.handle(request))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled(), api.end_calls()

    assert run_paused(leave()) == (True, 0)


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [((), "not-run"), ((("Idempotency-Key", "k"),), "unknown")],
)
def test_node_without_settings_outcome_depends_on_key(
    recorder, metrics, headers, outcome
):
    api = CallerApi(
        lambda: SettingsView({}, 0),
        "bxl-a",
        lambda: "call-1",
        lambda service, key: None,
        recorder.execute_call,
        metrics,
        EventLog(lambda: 0.0),
    )
    answer = exchange(api, make_request(headers=headers))
    assert dict(answer.headers)["Sapphireway-Outcome"] == outcome


@pytest.mark.parametrize("status", [413, 431])
def test_too_large_request_is_rejected_and_counted(api, metrics, status):
    answer = api.reject(RejectedRequest(status, "too large", "127.0.0.1"))
    assert answer.status == status
    assert f'bad_requests_total{{status="{status}"}} 1' in metrics.render()


def test_body_limit_comes_from_request_kind(api):
    assert api.prepare(make_request()) == 1000


@pytest.mark.parametrize(
    ("target", "headers", "outcome"),
    [
        ("/ledger/photographs", (("Idempotency-Key", "k"),), "answered"),
        ("/ledger/photographs", (), "not-run"),
        ("/ledger/balances/1", (("Idempotency-Key", "k"),), "not-run"),
    ],
    ids=["claimed", "without_key", "idempotent"],
)
def test_stopping_node_refuses_requests_without_claim(
    api, recorder, target, headers, outcome
):
    api.stopping = True
    answer = exchange(api, make_request(target, headers))
    assert dict(answer.headers)["Sapphireway-Outcome"] == outcome
    assert dict(answer.headers)["Connection"] == "close"
    assert len(recorder.calls) == (outcome == "answered")


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (Answered(503, (), b""), 503, "answered"),
        (NotRun(NotRunReason.OVERLOADED, 0.2), 503, "not-run"),
        (NotRun(NotRunReason.CLAIM_MISMATCH), 422, "not-run"),
        (NotRun(NotRunReason.QUOTA, 0.3), 429, "not-run"),
        (NotRun(NotRunReason.UNCONFIRMED, 0.3), 503, "not-run"),
        (Failed("cut"), 502, "failed"),
        (Unknown("silent"), 504, "unknown"),
    ],
)
def test_outcome_sets_status_and_header(outcome, status, name):
    answer = render_outcome(outcome)
    assert answer.status == status
    assert ("Sapphireway-Outcome", name) in answer.headers


def test_not_run_has_retry_after_headers():
    headers = dict(render_outcome(NotRun(NotRunReason.OVERLOADED, 1.25)).headers)
    assert headers["Retry-After"] == "2"
    assert headers["Retry-After-Ms"] == "1250"
    assert headers["Sapphireway-Reason"] == "overloaded"


def test_refusal_above_quota_has_retry_after_headers():
    headers = dict(render_outcome(NotRun(NotRunReason.QUOTA, 0.32)).headers)
    assert headers["Retry-After"] == "1"
    assert headers["Retry-After-Ms"] == "320"
    assert headers["Sapphireway-Reason"] == "quota"


def test_answer_headers_are_end_to_end_only():
    headers = (("Content-Length", "3"), ("Keep-Alive", "x"), ("Set-Cookie", "a"))
    assert filter_headers(headers) == (("Set-Cookie", "a"),)
