import asyncio
import json

import pytest
import tornado.httpclient

from sapphireway.hosting import (
    EditRefused,
    Publisher,
    StallWatch,
    Unavailable,
)
from sapphireway.memory import MemoryControlClient
from sapphireway_state import (
    CurrentTable,
    Published,
    RouteTable,
    Superseded,
    Unpublishable,
)
from sapphireway_state._problems import Problem
from tests.platform_adapter.operator_server import listen
from tests.platform_adapter.test_tables import make_document


class FakeNode:
    """Node and its publisher, with preset results and a record of the changes."""

    def __init__(self):
        self.publisher = self.rollout_orders = self
        self.result = Published(7)
        self.current = CurrentTable(RouteTable(5))
        self.out_result = None
        self.published, self.out = [], []
        self.now_s = 0.0
        self.stall_watch = StallWatch(lambda: (self.now_s, self.now_s))

    async def publish(self, publish):
        self.published.append(publish)
        return self.result

    async def read_table(self, digest=b""):
        return self.current

    async def set_out(self, domain, out, find_staleness):
        staleness = await find_staleness(3)
        if staleness is not None:
            return Unavailable(staleness)
        self.out.append((domain, out))
        return self.out_result


@pytest.fixture
def node():
    return FakeNode()


def send(node, *requests):
    """Send requests in sequence and return the answers."""

    async def run():
        server, port = listen(node)
        client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        answers = []
        for method, path, headers, body in requests:
            answers.append(
                await client.fetch(
                    f"http://127.0.0.1:{port}{path}",
                    method=method,
                    headers=headers,
                    body=body,
                    raise_error=False,
                )
            )
        client.close()
        server.stop()
        await server.close_all_connections()
        return answers

    return asyncio.run(run())


def make_replace_request(base="5", **changes):
    headers = {} if base is None else {"Base-Version": base}
    body = json.dumps(make_document(**changes))
    return "POST", "/Configuration.Replace", headers, body


UPDATE_REQUEST = (
    "POST",
    "/Configuration.Update",
    {"Base-Version": "5"},
    json.dumps({"version": 9, "remove": {"routes": ["r"]}}),
)
READ_REQUEST = ("GET", "/Configuration.Read", {}, None)


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (Published(7), 200),
        (Superseded(6), 412),
        (Unpublishable([Problem("routes", "wrong", "right")]), 400),
        (Unavailable("no control host answered"), 503),
    ],
)
def test_status_of_publish_result(node, result, status):
    node.result = result
    (answer,) = send(node, make_replace_request())
    assert answer.code == status
    assert node.published[0].base == 5


@pytest.mark.parametrize(
    "request_",
    [
        make_replace_request(base=None),
        make_replace_request(base="five"),
        make_replace_request(limits=None),
        ("POST", "/Configuration.Replace", {"Base-Version": "5"}, "{"),
        ("POST", "/Configuration.Update", {"Base-Version": "5"}, "{}"),
    ],
    ids=["no-base", "base", "limits", "cut", "update"],
)
def test_malformed_request_is_refused_and_not_published(node, request_):
    (answer,) = send(node, request_)
    assert answer.code == 400
    assert node.published == []


def test_only_repeated_request_has_same_digest(node):
    send(
        node,
        make_replace_request(),
        make_replace_request(),
        make_replace_request(base="4"),
        make_replace_request(version=8),
    )
    digests = [publish.digest for publish in node.published]
    assert digests[0] == digests[1]
    assert len(set(digests)) == 3


@pytest.mark.parametrize(
    ("current", "status", "published"),
    [
        (CurrentTable(RouteTable(5)), 200, 1),
        (CurrentTable(RouteTable(6)), 412, 0),
        (CurrentTable(RouteTable(9), accepted=9), 200, 0),
        (Unavailable("no control host answered"), 503, 0),
    ],
    ids=["current", "older", "accepted-before", "unavailable"],
)
def test_update_applies_to_current_table(node, current, status, published):
    node.current = current
    (answer,) = send(node, UPDATE_REQUEST)
    assert (answer.code, len(node.published)) == (status, published)


@pytest.mark.parametrize(
    ("current", "status"),
    [
        (CurrentTable(RouteTable(5)), 200),
        (CurrentTable(RouteTable(0)), 503),
        (Unavailable("no control host answered"), 503),
    ],
    ids=["known", "none-yet", "unavailable"],
)
def test_read_returns_newest_table_or_503(node, current, status):
    node.current = current
    (answer,) = send(node, READ_REQUEST)
    assert answer.code == status
    if status == 200:
        assert json.loads(answer.body)["version"] == 5


@pytest.mark.parametrize(("verb", "out"), [("Start", True), ("Finish", False)])
@pytest.mark.parametrize(
    ("result", "status"),
    [
        (None, 200),
        (Unavailable("no quorum"), 503),
        (EditRefused("no such domain"), 400),
    ],
)
def test_evacuation_takes_domain_out_or_in(node, verb, out, result, status):
    node.out_result = result
    (answer,) = send(node, ("POST", f"/Evacuation.{verb}/rincon", {}, ""))
    assert answer.code == status
    assert node.out == [("rincon", out)]


class SlowReadClient(MemoryControlClient):
    """Its reads take a round trip, as those of a quorum do."""

    async def read(self, query, timeout_s):
        await asyncio.sleep(0.02)
        return await super().read(query, timeout_s)


def send_evacuation_and_wait(closes):
    """Send an order, close its connection or not; return whether it was carried out."""

    async def run():
        node = FakeNode()
        client = SlowReadClient([])
        node.publisher = Publisher(client, lambda: "edit-1")
        server, port = listen(node)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /Evacuation.Start/rincon HTTP/1.1\r\n")
        writer.write(b"Host: x\r\nContent-Length: 0\r\n\r\n")
        if closes:
            writer.close()
        else:
            assert b" 200 " in await reader.readline()
        await asyncio.sleep(0.3)
        writer.close()
        server.stop()
        await server.close_all_connections()
        return "domains" in client.machine.settings.tree

    return asyncio.run(run())


@pytest.mark.parametrize("closes", [False, True])
def test_order_is_not_carried_out_once_its_sender_has_left(closes):
    assert send_evacuation_and_wait(closes) is not closes


@pytest.mark.parametrize(("frozen_s", "status"), [(0.0, 200), (4.0, 503)])
def test_order_read_right_after_a_stall_is_not_carried_out(node, frozen_s, status):
    node.now_s += frozen_s
    (answer,) = send(node, ("POST", "/Evacuation.Start/rincon", {}, ""))
    assert answer.code == status
    assert (node.out == []) is (status == 503)
