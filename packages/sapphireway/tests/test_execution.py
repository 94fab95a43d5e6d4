import asyncio
from types import SimpleNamespace

import pytest

from sapphireway._callers import Arrival
from sapphireway._execution import digest_key, make_call_executor
from sapphireway._metrics import Metrics
from sapphireway_coordination import Call
from sapphireway_protocol import Answered, Failed, NotRun, NotRunReason, Unknown
from sapphireway_state import Policy


class FakeComponents:
    """Fakes of the components that a call passes through."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.dispatched = 0
        self.logged = []
        self.submissions = []
        self.stopping = False

    async def wait_for_members(self, service, timeout_s):
        return True

    async def dispatch(self, call):
        self.dispatched += 1
        return self.outcome

    async def run_claimed(self, call, dispatch, fences):
        return await dispatch(call)

    def warning(self, event, **fields):
        self.logged.append((event, fields))

    def log_submission(self, event, **fields):
        self.submissions.append((event, fields))


def execute_call(components, key=None, metrics=None, refusal=None):
    call = Call(
        "call-1",
        "ledger",
        "balance",
        "POST",
        "/ledger",
        (("traceparent", "00-1-2-01"),),
        b"",
        1.0,
        key,
        Policy(),
    )
    execute = make_call_executor(
        components,
        SimpleNamespace(dispatch=components.dispatch),
        components,
        metrics or Metrics(),
        components,
        "bxl-a",
    )
    return asyncio.run(execute(call, Arrival(None, components.stopping, refusal)))


@pytest.mark.parametrize(
    ("outcome", "logged"),
    [
        (Answered(200, (), b""), 0),
        (NotRun(NotRunReason.OVERLOADED), 1),
        (Failed("cut"), 1),
        (Unknown("silent"), 1),
    ],
)
def test_unanswered_call_is_logged_with_its_ids(outcome, logged):
    components = FakeComponents(outcome)
    assert execute_call(components) is outcome
    assert len(components.logged) == logged
    for event, fields in components.logged:
        assert event == "call_not_answered"
        assert (fields["call"], fields["trace"]) == ("call-1", "00-1-2-01")


def test_latency_is_recorded_by_service_kind_domain_and_outcome():
    metrics = Metrics()
    execute_call(FakeComponents(Unknown("silent")), metrics=metrics)
    labels = 'service="ledger",kind="balance",domain="bxl-a",outcome="Unknown"'
    assert f"sapphireway_call_seconds_count{{{labels}}} 1" in metrics.render()


def test_call_with_key_is_not_dispatched_when_stopping():
    components = FakeComponents(Answered(200, (), b""))
    components.stopping = True
    assert execute_call(components, key="k") == NotRun(NotRunReason.STOPPING)
    assert not components.dispatched


def test_refused_call_with_key_only_asks_its_claim():
    components = FakeComponents(Answered(200, (), b""))
    refusal = NotRun(NotRunReason.QUOTA)
    assert execute_call(components, key="k", refusal=refusal) is refusal
    assert not components.dispatched


def test_call_with_key_leaves_a_line_with_the_digest_of_its_key():
    components = FakeComponents(Answered(200, (), b""))
    execute_call(components, key="a secret")
    ((event, fields),) = components.submissions
    assert (event, fields["call"], fields["stopping"]) == ("key_read", "call-1", False)
    assert fields["key_digest"] == digest_key("a secret")
    assert "secret" not in str(fields)
