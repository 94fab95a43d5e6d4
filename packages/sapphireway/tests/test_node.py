import asyncio
import os

import msgspec
import pytest

from sapphireway._logs import EventLog
from sapphireway._node import Node
from sapphireway_coordination import TREE_PREFIX, ControlMachine, GateState, Role
from sapphireway_protocol import NotRunReason
from sapphireway_state import (
    Edit,
    ProcessSettings,
    Publish,
    Published,
    RouteTable,
    SetValue,
    Workspace,
    encode_edit,
)

# Depends on the process id, as concurrent runs of the tests must not share it.
ADDRESS = f"127.19.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}:{{}}"


@pytest.fixture
def settings(tmp_path):
    return ProcessSettings(
        ADDRESS.format(7100),
        ADDRESS.format(8080),
        ADDRESS.format(9090),
        "bxl-a",
        "be",
        str(tmp_path),
        (ADDRESS.format(7100),),
        control=True,
        claim_memory_max_bytes=3_000_000,
    )


def apply_tree(node, tree):
    machine = ControlMachine()
    edit = Edit("e", 0, [SetValue("", tree)], "an", "", 1.0)
    machine.apply(1, TREE_PREFIX + encode_edit(edit))
    node._shared.applied.apply(machine.make_update(0, 0))
    assert node._shared.applied.version == 1


@pytest.fixture
def inspect_node(settings):
    """Return a function that applies `inspect` to a node that is not started."""

    def inspect_node(tree, inspect):
        async def run():
            node = Node(settings, EventLog())
            apply_tree(node, tree)
            try:
                return inspect(node)
            finally:
                await node._close()

        return asyncio.run(run())

    return inspect_node


def test_claim_memory_comes_from_the_process_settings(inspect_node):
    assert (
        inspect_node(
            {"weight": 5}, lambda node: node._shared.holder._memory.limit_bytes
        )
        == 3_000_000
    )


@pytest.mark.parametrize(
    ("tree", "unsure", "size"),
    [
        ({"weight": 5}, False, 3),
        ({"claim_run_when_unsure": True, "claim_losses_max": 2}, True, 5),
        (
            {
                "claim_losses_max": 2,
                "services": {
                    "ledger": {"claim_run_when_unsure": True, "claim_losses_max": 1}
                },
            },
            True,
            3,
        ),
    ],
)
def test_claim_settings_come_from_the_tree(inspect_node, tree, unsure, size):
    def inspect(node):
        table = node._shared.holder._make_table("ledger/4")
        group_controller = node._control._group_controller
        return table._may_run_unsure(), group_controller._get_size("ledger/4")

    assert inspect_node(tree, inspect) == (unsure, size)


def test_stopping_node_keeps_gate_open_during_grace_period(settings):
    """The local server keeps running and stays available to other nodes meanwhile."""
    settings = msgspec.structs.replace(settings, stop_grace_ms=1000)

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(0.1)
        during = node.ready, node.gate.state
        await stopping
        return during, node.gate.state

    during, after = asyncio.run(run())
    assert during == (False, GateState.OPEN)
    assert after is GateState.DRAINING


def test_grace_period_counts_from_the_signal(settings):
    """A process that was starting or frozen would be killed at work."""
    settings = msgspec.structs.replace(settings, stop_grace_ms=2000)

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        loop = asyncio.get_running_loop()
        signalled_s = loop.time() - 1.5
        await node.stop(signalled_s)
        return loop.time() - signalled_s

    assert asyncio.run(run()) < 2.0


@pytest.mark.parametrize("body_bytes", [0, 1000], ids=["at_work", "upload"])
def test_request_is_answered_by_a_stop_whose_end_is_over(settings, body_bytes):
    """After a freeze until then, the answer had no time to reach its caller."""
    settings = msgspec.structs.replace(settings, stop_grace_ms=1000)
    tree = {
        "services": {
            "s": {"match": {"path_prefixes": ["/"]}, "kinds": {"k": {"match": {}}}}
        }
    }

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        apply_tree(node, tree)
        reader, writer = await asyncio.open_connection(
            *settings.http_address.split(":")
        )
        head = f"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n"
        writer.write(head.encode())
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        stopping = asyncio.create_task(node.stop(loop.time() - 3.0))
        for _ in range(10 if body_bytes else 0):
            await asyncio.sleep(0.01)
            writer.write(b"a")
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()
            await stopping

    assert asyncio.run(run()).startswith(b"HTTP/1.1 50")


def test_wait_for_the_handover_of_claims_ends_before_the_kill(settings, monkeypatch):
    """The last message to other nodes was not sent when no successor was found."""
    settings = msgspec.structs.replace(settings, stop_grace_ms=1000)

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        holder_type = type(node._shared.holder)
        monkeypatch.setattr(holder_type, "active_group_count", property(lambda _: 1))
        started_s = asyncio.get_running_loop().time()
        await node.stop()
        return asyncio.get_running_loop().time() - started_s

    assert asyncio.run(run()) < 1.0


def test_request_read_after_the_stop_began_is_not_refused_as_stopping(settings):
    """It may have been sent before the signal, which a busy node handles late."""
    tree = {
        "drain_timeout_ms": 5000,
        "services": {
            "s": {"match": {"path_prefixes": ["/"]}, "kinds": {"k": {"match": {}}}}
        },
    }

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        apply_tree(node, tree)
        reader, writer = await asyncio.open_connection(
            *settings.http_address.split(":")
        )
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(0.3)
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await reader.read()
        await stopping
        return answer.lower()

    answer = asyncio.run(run())
    assert b"sapphireway-reason: no_server" in answer, answer
    assert b"connection: close" in answer


def test_quota_of_published_table_is_granted_by_the_leader(settings):
    """Guards against parts that do not meet: table, owner, client, own link."""
    settings = msgspec.structs.replace(settings, bootstrap=True)
    workspace = Workspace("w", ("key",), 10.0, 20.0)

    async def run():
        node = Node(settings, EventLog())
        await node.start()
        loop = asyncio.get_running_loop()
        try:
            while node._control.get_status().role is not Role.LEADER:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            publish = Publish(b"d", 0, RouteTable(1, workspaces=(workspace,)))
            result = None
            while not isinstance(result, Published):
                result = await node.publisher.publish(publish)
            admit = node._shared.quotas.admit
            results = [await admit(workspace, loop.time() + 5.0) for _ in range(60)]
            return results, node.render_metrics()
        finally:
            await node._close()

    results, metrics = asyncio.run(run())
    admitted = results.count(None)
    assert 20 <= admitted <= 40
    assert results[-1].reason is NotRunReason.QUOTA
    assert 0 < results[-1].retry_after_s <= 5.2
    assert f"sapphireway_quota_admitted {admitted}" in metrics
    assert 'event="QuotaRefused",workspace="w",reason="quota"' in metrics
