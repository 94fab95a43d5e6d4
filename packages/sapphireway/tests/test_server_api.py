import asyncio
import contextlib
import json
import random
import sys

import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.testing
import tornado.web
from hypothesis import given
from hypothesis import strategies as st
from tests.malformed import make_odd_json, make_settings

from sapphireway._server_api import make_server_routes
from sapphireway_coordination import Gate, GateState
from sapphireway_protocol import Peers
from sapphireway_state import Policy
from sapphireway_transport import Broken, CurlServerClient, NotSent, ServerRequest
from sapphireway_transport.memory import MemoryNetwork

VALID_ANNOUNCEMENT = {
    "service": "ledger",
    "url": "http://127.0.0.1:9001",
    "slots": 6,
    "start_id": "one",
    "in_flight": 0,
}


class Api:
    """Server interface of a node on a real socket."""

    async def __aenter__(self):
        rng = random.Random(1)
        peers = Peers(MemoryNetwork(rng).open_endpoint("n"), "i")
        self.client = CurlServerClient()
        self.gate = Gate(
            peers, self.client, rng, lambda service, kind: Policy(), lambda event: None
        )
        socket, port = tornado.testing.bind_unused_port()
        application = tornado.web.Application(make_server_routes(self.gate))
        self.http = tornado.httpserver.HTTPServer(application)
        self.http.add_sockets([socket])
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error):
        self.gate.close()
        self.client.close()
        self.http.stop()

    async def fetch(self, method, path, content=None):
        body = content if content is None else json.dumps(content)
        answer = await tornado.httpclient.AsyncHTTPClient().fetch(
            self.url + path, method=method, body=body, raise_error=False
        )
        return answer.code, json.loads(answer.body)


def with_api(test):
    def run():
        async def main():
            async with Api() as api:
                await test(api)

        asyncio.run(main())

    run.__name__ = test.__name__
    return run


@with_api
async def test_server_announces_renews_and_leaves(api):
    assert await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT) == (
        200,
        {"renew_s": 2.0, "limit": 1},
    )
    assert (await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT))[0] == 200
    assert api.gate.available and api.gate.announcement.slots == 6
    assert await api.fetch("DELETE", "/server/s1") == (200, {"in_flight": 0})
    assert api.gate.leaving
    assert (await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT))[0] == 409
    assert (await api.fetch("DELETE", "/server/s2"))[0] == 404


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"slots": 0}, "slots"),
        ({"slots": "6"}, "slots"),
        ({"url": "ftp://x"}, "url"),
        ({"url": "http://x/path"}, "url"),
        ({"service": "a b"}, "service"),
        ({"start_id": ""}, "start_id"),
        ({"unknown": 1}, "unknown"),
        ({"health_path": "/health"}, "health_path"),
        ({"in_flight": -1}, "in_flight"),
    ],
)
def test_invalid_announcement_is_refused(change, names):
    @with_api
    async def announce(api):
        status, answer = await api.fetch(
            "PUT", "/server/s1", VALID_ANNOUNCEMENT | change
        )
        assert status == 400 and names in answer["error"]
        assert api.gate.announcement is None

    announce()


@contextlib.asynccontextmanager
async def run_demo_server(api, port=0):
    """Start the demo server; yield its process, `send` and `set_behaviour`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "demo.server", api.url, "--port", str(port)
    )

    async def send(path, body=b"abc", method="POST"):
        headers = (("Sapphireway-Request-Id", "r1"), ("Sapphireway-Attempt-Id", "a1"))
        url = f"{api.gate.announcement.url}{path}"
        request = ServerRequest(url, method, headers, body, 5.0, 10_000)
        return await api.client.send(request)

    async def set_behaviour(**switches):
        body = json.dumps(switches).encode()
        assert (await send("/control/behaviour", body, "PATCH")).status == 200

    try:
        async with asyncio.timeout(10):
            while api.gate.announcement is None:
                assert process.returncode is None, "it ended before its announcement"
                await asyncio.sleep(0.02)
            yield process, send, set_behaviour
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@with_api
async def test_server_may_state_its_version(api):
    await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT)
    assert api.gate.announcement.version == ""
    await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT | {"version": "v2"})
    assert api.gate.announcement.version == "v2"
    longest = VALID_ANNOUNCEMENT | {"version": "v" * 201}
    assert (await api.fetch("PUT", "/server/s1", longest))[0] == 400


@with_api
async def test_demo_server_announces_its_free_port(api):
    async with run_demo_server(api, port=0) as (_, send, _):
        assert not api.gate.announcement.url.endswith(":0")
        assert (await send("/x")).body == b"abc"


@with_api
async def test_demo_server_exits_if_port_is_taken(api):
    port = int(api.url.rsplit(":", 1)[1])
    with pytest.raises(AssertionError, match="ended before its announcement"):
        async with run_demo_server(api, port):
            pass


@with_api
async def test_demo_server_finishes_requests_on_sigterm(api):
    async with run_demo_server(api) as (process, send, set_behaviour):
        await set_behaviour(latency_ms=300)
        pending = asyncio.create_task(send("/x"))
        await asyncio.sleep(0.1)
        process.terminate()
        assert (await pending).body == b"abc"
        assert await process.wait() == 0
    assert api.gate.leaving and api.gate.state is GateState.OPEN


@with_api
async def test_demo_server_crashes_on_configured_path(api):
    async with run_demo_server(api) as (process, send, set_behaviour):
        await set_behaviour(crash_path="boom", truncate_path="short")
        truncated = await send("/short")
        assert isinstance(truncated, Broken) and truncated.disconnected
        crashed = await send("/boom")
        assert isinstance(crashed, Broken) and crashed.disconnected
        assert await process.wait() == 70
        assert isinstance(await send("/x"), NotSent)


@with_api
async def test_killed_server_breaks_running_requests(api):
    async with run_demo_server(api) as (process, send, set_behaviour):
        await set_behaviour(frozen=True)
        pending = [asyncio.create_task(send("/x")) for _ in range(3)]
        await asyncio.sleep(0.1)
        process.kill()
        results = await asyncio.gather(*pending)
        assert all(isinstance(r, Broken) and r.disconnected for r in results)


@with_api
async def test_odd_announcement_changes_nothing(api):
    """Deep nesting got 500, and a port out of range an address for every request."""
    await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT)
    before = api.gate.announcement
    nested = "[" * 4000
    for body in (nested, '{"service":' + nested, '{"x":' + nested):
        answer = await tornado.httpclient.AsyncHTTPClient().fetch(
            api.url + "/server/s1", method="PUT", body=body, raise_error=False
        )
        assert answer.code == 400
    for url in ("http://127.0.0.1:99999", "http://127.0.0.1:0", "http://:9001"):
        odd = VALID_ANNOUNCEMENT | {"url": url}
        assert (await api.fetch("PUT", "/server/s1", odd))[0] == 409
    assert api.gate.announcement is before and api.gate.available


def test_server_stays_registered_beside_any_announcement():
    @make_settings(40)
    @given(st.sampled_from(["s1", "s2"]), make_odd_json(VALID_ANNOUNCEMENT))
    def send(server, body):
        @with_api
        async def exchange(api):
            await api.fetch("PUT", "/server/s1", VALID_ANNOUNCEMENT)
            before = api.gate.announcement
            answer = await tornado.httpclient.AsyncHTTPClient().fetch(
                f"{api.url}/server/{server}", method="PUT", body=body, raise_error=False
            )
            assert answer.code in (200, 400, 409, 413)
            if answer.code != 200:
                assert api.gate.announcement is before
            assert api.gate.available

        exchange()

    send()
