import asyncio
import http.client
import json

import pytest

from sapphireway._operator_backend import Unavailable
from sapphireway._rollout_orders import ORDER_TIMEOUT_S, RolloutOrders
from sapphireway._short_tries import TRY_TIMEOUT_S
from sapphireway.memory import MemoryControlClient
from sapphireway_coordination import ROLLOUT_PREFIX
from sapphireway_state import (
    EndRollout,
    RolloutAccepted,
    RolloutConflict,
    RolloutRefused,
    RolloutState,
    StepRollout,
    encode_rollout_command,
)
from sapphireway_transport.memory import run_paused

ORDER = {"service": "ledger", "version": "v2", "duration_ms": 12000.0}


@pytest.fixture
def client():
    return MemoryControlClient(["ledger"])


async def find_none():
    """Find that an order is valid."""


def run(client, *orders):
    """Start rollouts one after the other; return results and the rollout read last."""

    async def main():
        rollout_orders = RolloutOrders(client, lambda: 50.0)
        results = [await rollout_orders.start(*order, find_none) for order in orders]
        return results, await rollout_orders.read("ledger")

    return run_paused(main())


def test_order_is_accepted_and_read_back(client):
    results, rollout = run(client, ("ledger", "v2", 12000.0))
    assert results == [RolloutAccepted(2)]
    assert (rollout.version, rollout.ordered_s, rollout.running) == ("v2", 50.0, True)


def test_order_whose_acknowledgement_was_lost_is_acknowledged_again(client):
    # By the same node within its call, and by another node at the operator's resend.
    client.answers_to_lose = 2
    results, rollout = run(client, ("ledger", "v2", 9e3), ("ledger", "v2", 9e3))
    assert results == [RolloutAccepted(2)] * 2 and rollout.order == 2


def test_order_without_quorum_is_unavailable_before_the_operator_gives_up(client):
    client.unavailable = True
    (result,), rollout = run(client, ("ledger", "v2", 12000.0))
    assert result == Unavailable("no quorum") and isinstance(rollout, Unavailable)


def test_silent_control_host_does_not_take_the_time_of_an_order():
    """Its operator waits for a second at each node, and for four in total."""
    client = MemoryControlClient(["ledger"])
    propose, timeouts = client.propose, []

    class SlowClient:
        async def propose(self, command, timeout_s):
            timeouts.append(timeout_s)
            if len(timeouts) < 3:
                client.unavailable = True
            else:
                client.unavailable = False
            return await propose(command, timeout_s)

        read = client.read

    results, _ = run(SlowClient(), ("ledger", "v2", 12000.0))
    assert results == [RolloutAccepted(2)]
    assert timeouts[0] == TRY_TIMEOUT_S < ORDER_TIMEOUT_S / 4


class FrozenClient(MemoryControlClient):
    """Holds commands back while it is frozen, as a control host that stands still."""

    def __init__(self):
        super().__init__(["ledger"])
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def propose(self, command, timeout_s):
        await self.thawed.wait()
        return await super().propose(command, timeout_s)


def test_order_is_not_carried_out_after_later_rollouts():
    """The service was moved back to a version that later orders had replaced."""
    remaining = [None]

    async def find_staleness():
        return remaining.pop() if remaining else "the sender has left"

    async def main():
        client = FrozenClient()
        frozen, other = (RolloutOrders(client, lambda: 50.0) for _ in range(2))
        client.thawed.clear()
        held = asyncio.create_task(
            frozen.start("ledger", "v2", 12000.0, find_staleness)
        )
        await asyncio.sleep(1.0)
        thawed, client.thawed = client.thawed, asyncio.Event()
        client.thawed.set()
        for version in ("v2", "v3"):
            result = await other.start("ledger", version, 12000.0, find_none)
            end = EndRollout("ledger", result.order, RolloutState.ROLLED_BACK, "why")
            client.apply(ROLLOUT_PREFIX + encode_rollout_command(end))
        thawed.set()
        return await held, await other.read("ledger")

    result, rollout = run_paused(main())
    assert (rollout.version, rollout.running) == ("v3", False)
    assert result == Unavailable("the sender has left")


def test_racing_order_conflicts_and_invalid_ones_are_refused(client):
    results, rollout = run(
        client,
        ("ledger", "v2", 12000.0),
        ("ledger", "v3", 12000.0),
        ("other", "v2", 12000.0),
        ("ledger", "", 12000.0),
        ("ledger", "v3", -1.0),
    )
    assert results[1] == RolloutConflict("v2", 2)
    assert all(isinstance(result, RolloutRefused) for result in results[2:])
    assert rollout.version == "v2"


def test_rollout_of_service_without_one_is_none(client):
    assert run(client) == ([], None)


@pytest.fixture
def ask(operator_node):
    def ask(method, path, body=None, token=operator_node.token):
        connection = http.client.HTTPConnection(operator_node.address, timeout=5)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        content = body if isinstance(body, (str, type(None))) else json.dumps(body)
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        text = response.read()
        connection.close()
        return response.status, json.loads(text)

    return ask


def test_rollout_is_ordered_and_shown_with_its_steps(ask, operator_node):
    assert ask("GET", "/v1/rollouts/ledger")[0] == 404
    status, reply = ask("POST", "/v1/rollouts", ORDER)
    assert (status, reply["order"]) == (200, 2)
    for command in (
        StepRollout("ledger", 2, 0.05, "no evidence", 3000.0),
        EndRollout("ledger", 2, RolloutState.ROLLED_BACK, "9 failed", 4500.0),
    ):
        content = ROLLOUT_PREFIX + encode_rollout_command(command)
        operator_node.control.apply(content)
    status, reply = ask("GET", "/v1/rollouts/ledger", token=None)
    assert status == 200
    assert (reply["state"], reply["share"]) == ("rolled_back", 0.05)
    assert reply["steps"] == [
        {"age_s": 3.0, "share": 0.05, "evidence": "no evidence"},
        {"age_s": 4.5, "share": 0.05, "evidence": "9 failed"},
    ]


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (ORDER, 200),
        (ORDER | {"version": "v3"}, 409),
        (ORDER | {"service": "other"}, 400),
        (ORDER | {"duration_ms": 0}, 400),
        (ORDER | {"duration_ms": "soon"}, 400),
        (ORDER | {"extra": 1}, 400),
        ({"service": "ledger"}, 400),
        ("{", 400),
        ("[" * 100_000, 400),
    ],
)
def test_orders_have_distinct_statuses(ask, body, status):
    ask("POST", "/v1/rollouts", ORDER)
    assert ask("POST", "/v1/rollouts", body)[0] == status


def test_order_needs_the_operators_token(ask, operator_node):
    assert ask("POST", "/v1/rollouts", ORDER, token="wrong")[0] == 401
    assert operator_node.control.machine.rollouts.version == 0


def test_read_without_quorum_is_unavailable(ask, operator_node):
    ask("POST", "/v1/rollouts", ORDER)
    operator_node.control.unavailable = True
    assert ask("GET", "/v1/rollouts/ledger")[0] == 503
