"""Heartbeats and departures of other writers at the interface of the server."""

import asyncio
import json
import random
import time
from urllib.parse import quote

import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.testing
import tornado.web
from hypothesis import given
from hypothesis import strategies as st

from sapphireway._logs import EventLog
from sapphireway_coordination import Assignment, Gate, SelfReport
from sapphireway_coordination.gate._server_limit import ReportSource
from sapphireway_platform._heartbeats import ServerRegistrar
from sapphireway_platform._main import _make_server_routes
from sapphireway_protocol import Peers
from sapphireway_state import Policy, RouteTable, RouteView, ServiceSpec
from sapphireway_transport.memory import MemoryNetwork, MemoryServer
from tests.malformed import HUGE, NESTED_DEEPLY, make_odd_json, make_settings

SERVER = "i-1"
ADDRESS = "10.128.0.9:8080"
SERVICE = ServiceSpec("ledger", "/health", 220, 3000.0, 17.0)
START_MS = int(time.time() * 1000)
HEARTBEAT = {
    "service": "ledger",
    "address": ADDRESS,
    "zone": "rincon",
    "version": "v1",
    "capacity_slots": 12,
    "state": "ready",
    "cold_remaining": "0ms",
    "seq": 4,
    "born": START_MS,
}
NESTED = b"[" * NESTED_DEEPLY
PATHS = ("Heartbeat", "Deregister")


class Host:
    """Interface of a node for the server on its host, with a registered server."""

    async def __aenter__(self):
        rng = random.Random(1)
        self.peers = Peers(MemoryNetwork(rng).open_endpoint("n"), "i")
        self.gate = Gate(
            self.peers,
            MemoryServer(rng, 12),
            rng,
            lambda service, kind: Policy(),
            lambda event: None,
            assignment=Assignment("ledger", f"http://{ADDRESS}"),
        )
        view = RouteView(RouteTable(1, (SERVICE,)), 1)
        log = EventLog(lambda: 0.0)
        now = asyncio.get_running_loop().time
        registrar = ServerRegistrar(self.gate, lambda: view, log, now)
        application = tornado.web.Application(_make_server_routes(registrar, log))
        self.server = tornado.httpserver.HTTPServer(application)
        socket, port = tornado.testing.bind_unused_port()
        self.server.add_socket(socket)
        self.url = f"http://127.0.0.1:{port}"
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self.born, self.seq = START_MS, 0
        return self

    async def __aexit__(self, *error):
        self.gate.close()
        self.client.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def post(self, path, server, body):
        answer = await self.client.fetch(
            f"{self.url}/Instances.{path}/{quote(server, safe='')}",
            method="POST",
            body=body,
            raise_error=False,
        )
        return answer.code

    async def send_heartbeat(self):
        """Send the next heartbeat of the server, started again if it has left."""
        if self.gate.leaving:
            self.born += 1
        self.seq += 1
        heartbeat = HEARTBEAT | {"born": self.born, "seq": self.seq}
        return await self.post("Heartbeat", SERVER, json.dumps(heartbeat))

    def describe(self):
        announcement = self.gate.announcement
        return announcement, self.gate.available, self.gate.get_load()


async def check_messages(messages):
    async with Host() as host:
        for path, server, body in messages:
            assert await host.send_heartbeat() == 200
            before = host.describe()
            status = await host.post(path, server, body)
            assert status in (200, 400)
            if status == 400:
                assert host.describe() == before
            assert await host.send_heartbeat() == 200
            assert host.gate.available
            assert host.gate.announcement.server == SERVER


@make_settings(60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(PATHS),
            st.sampled_from([SERVER, "i-2", "i-2\r\nX: 1", "\u00e9", "%ff"]),
            st.one_of(make_odd_json(HEARTBEAT), make_odd_json({"born": START_MS})),
        ),
        max_size=8,
    )
)
def test_server_stays_registered_beside_any_message(messages):
    """Some got 500, and some took a sound server out of use for good."""
    asyncio.run(check_messages(messages))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("server", [SERVER, "i-2"])
@pytest.mark.parametrize(
    "body",
    [
        NESTED,
        b'{"x":' + NESTED,
        b'{"service":' + NESTED,
        b'{"born":' + NESTED,
        b'{"born": 1%s}' % (b"0" * 400),
        json.dumps(HEARTBEAT | {"born": HUGE, "seq": HUGE}).encode(),
        json.dumps(HEARTBEAT | {"born": 2**53}).encode(),
    ],
    ids=lambda body: repr(body[:16]),
)
def test_odd_message_is_rejected(path, server, body):
    """Deep nesting raises an error that is no `ValueError`; it was answered by 500."""

    async def run():
        async with Host() as host:
            await host.send_heartbeat()
            before = host.describe()
            assert await host.post(path, server, body) == 400
            assert host.describe() == before

    asyncio.run(run())


def test_later_start_of_another_writer_is_replaced_once_an_answer_tells():
    """The server's own announcements were refused for good as of an earlier start."""

    async def run():
        async with Host() as host:
            await host.send_heartbeat()
            later = HEARTBEAT | {"born": START_MS + 60_000}
            assert await host.post("Heartbeat", "i-2", json.dumps(later)) == 200
            assert host.gate.announcement.server == "i-2"
            # As from an answer with status 421.
            report = SelfReport(server="")
            now_s = asyncio.get_running_loop().time()
            registration = host.gate._registration
            registration.apply_report(report, ReportSource.ANSWER, now_s)
            assert not host.gate.available
            assert await host.send_heartbeat() == 200
            assert host.gate.available
            assert host.gate.announcement.server == SERVER

    asyncio.run(run())
