import asyncio
import json

import pytest
import tornado.httpclient

from sapphireway.hosting import RolloutOrders, StallWatch
from sapphireway.memory import MemoryControlClient
from sapphireway_coordination import ROLLOUT_PREFIX
from sapphireway_state import EndRollout, RolloutState, encode_rollout_command
from tests.platform_adapter.operator_server import listen

START = "/Rollouts.Start"
READ = "/Rollouts.Read/ledger"
ORDER = {"service": "ledger", "target_version": "v2", "duration": "12s"}


class FakeNode:
    """Node with a control client in memory."""

    def __init__(self):
        self.control = MemoryControlClient(["ledger"])
        self.publisher = None
        self.now_s = 0.0
        self.stall_watch = StallWatch(lambda: (self.now_s, self.now_s))
        self.rollout_orders = RolloutOrders(self.control, lambda: 50.0)

    def end(self, state):
        order = self.control.machine.rollouts.rollouts["ledger"].order
        command = EndRollout("ledger", order, state, "why")
        self.control.apply(ROLLOUT_PREFIX + encode_rollout_command(command))


@pytest.fixture
def node():
    return FakeNode()


def send(node, *requests):
    """Send requests, each a path and an order or None; return status and content."""

    async def run():
        server, port = listen(node)
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        answers = []
        for path, body in requests:
            content = (
                body if isinstance(body, (bytes, type(None))) else json.dumps(body)
            )
            answer = await client.fetch(
                f"http://127.0.0.1:{port}{path}",
                method="GET" if body is None else "POST",
                body=content,
                raise_error=False,
            )
            answers.append((answer.code, json.loads(answer.body)))
        client.close()
        server.stop()
        await server.close_all_connections()
        return answers

    return asyncio.run(run())


def test_order_is_acknowledged_and_read_back(node):
    answers = send(node, (START, ORDER), (READ, None))
    assert answers == [(200, {}), (200, {"state": "running", "target_version": "v2"})]
    assert node.control.machine.rollouts.rollouts["ledger"].duration_ms == 12000.0


@pytest.mark.parametrize("state", ["rolled_back", None])
def test_repeated_order_is_acknowledged_also_after_its_end(node, state):
    """Its first acknowledgement may have been lost; a refusal would be final."""
    send(node, (START, ORDER))
    if state:
        node.end(RolloutState(state))
    answers = send(node, (START, ORDER), (READ, None))
    assert answers[0] == (200, {})
    assert answers[1][1]["state"] == (state or "running")
    assert len(node.control.machine.rollouts.rollouts) == 1


@pytest.mark.parametrize("closes", [False, True])
def test_order_is_not_carried_out_once_its_sender_has_left(node, closes):
    """It may have gone on to another node, and a later rollout may have ended since."""
    body = json.dumps(ORDER).encode()

    async def run():
        server, port = listen(node)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /Rollouts.Start HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        if closes:
            writer.close()
        else:
            assert b" 200 " in await reader.readline()
        await asyncio.sleep(0.3)
        writer.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())
    assert ("ledger" in node.control.machine.rollouts.rollouts) is not closes


@pytest.mark.parametrize(("frozen_s", "status"), [(0.0, 200), (4.0, 503)])
def test_order_read_right_after_a_stall_is_not_carried_out(node, frozen_s, status):
    node.now_s += frozen_s
    ((answered, _),) = send(node, (START, ORDER))
    assert answered == status
    ordered = "ledger" in node.control.machine.rollouts.rollouts
    assert ordered is (status == 200)


def test_racing_order_is_a_conflict_until_the_first_has_ended(node):
    other = ORDER | {"target_version": "v3"}
    (_, (status, content)) = send(node, (START, ORDER), (START, other))
    assert status == 409 and "v2" in content["error"]
    node.end(RolloutState.ROLLED_BACK)
    assert send(node, (START, other)) == [(200, {})]


@pytest.mark.parametrize(
    ("order", "named"),
    [
        (ORDER | {"service": "other"}, "other"),
        (ORDER | {"service": ""}, "service"),
        (ORDER | {"target_version": ""}, "version"),
        (ORDER | {"target_version": None}, "target_version"),
        (ORDER | {"duration": "soon"}, "soon"),
        (ORDER | {"duration": 12}, "duration"),
        (ORDER | {"duration": "0s"}, "duration"),
        (ORDER | {"duration": "999999999999999s"}, "duration"),
        ({"service": "ledger"}, "target_version"),
        ([], "object"),
        (b"{", "truncated"),
        (b"\xff", ""),
        (b"[" * 100_000, ""),
    ],
)
def test_malformed_or_unknown_order_is_refused_with_what_is_wrong(node, order, named):
    ((status, content),) = send(node, (START, order))
    assert status == 400 and named in content["error"]
    assert node.control.machine.rollouts.version == 0


def test_read_of_service_without_rollout_is_not_found(node):
    assert send(node, (READ, None))[0][0] == 404


def test_without_quorum_orders_and_reads_are_unavailable(node):
    """A state that may be old must not be told."""
    send(node, (START, ORDER))
    node.control.unavailable = True
    answers = send(node, (START, ORDER), (READ, None))
    assert [status for status, _ in answers] == [503, 503]


def test_unknown_outcome_is_settled_before_the_answer(node):
    node.control.answers_to_lose = 2
    assert send(node, (START, ORDER), (READ, None))[0] == (200, {})
