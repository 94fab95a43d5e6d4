"""Messages of another writer at real processes, which go on and serve callers."""

import asyncio
import json
from urllib.parse import quote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphireway_protocol import Codec, Envelope
from sapphireway_protocol._codec import MESSAGES
from sapphireway_transport import ZmqEndpoint
from tests.malformed import make_odd_json, make_odd_msgpack, make_settings
from tests.messages import make_values
from tests.platform_adapter.test_key_processes import (
    exchange,
    make_configuration,
    run_system,
    wait_until,
)

BATCHES = 25
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "rincon",
    "version": "v1",
    "capacity_slots": 12,
    "state": "ready",
    "cold_remaining": "0ms",
    "seq": 2**53,
    "born": 4,
}
ORDER = {"service": "huvo11a", "target_version": "v2", "duration": "60s"}

_frames = st.one_of(
    st.lists(st.binary(max_size=40), min_size=1, max_size=2),
    st.sampled_from(MESSAGES)
    .flatmap(make_values)
    .map(
        lambda message: Codec().encode(
            Envelope(message, b"body", 7, 0, "writer", 1.0, 2**40)
        )
    ),
    st.sampled_from(MESSAGES)
    .flatmap(make_values)
    .flatmap(lambda message: make_odd_msgpack(["7", message]))
    .map(lambda frame: [frame]),
)


@pytest.fixture
def system(tmp_path, request):
    with run_system(tmp_path, request, "peers") as system:
        yield system


def send_messages(system, batch):
    """Send frames to the control host and to the node, as another peer would."""

    async def run():
        writer = ZmqEndpoint(f"{system.node_host.rpartition('.')[0]}.9:7399")
        writer.start(lambda sender, frames: None)
        for frames in batch:
            for host in (system.control_host, system.node_host):
                writer.send(f"{host}:7380", frames)
        await asyncio.sleep(0.05)
        writer.close()

    asyncio.run(run())


def is_served(system):
    answer = system.send("/open/1")
    return answer is not None and answer[0] == 200


def check_system(system):
    wait_until(lambda: is_served(system), "answer of the server")
    wait_until(
        lambda: (
            (exchange(system.operator, "GET", "/Configuration.Read") or [0])[0] == 200
        ),
        "read of the configuration",
    )
    for process in system.processes.values():
        assert process.poll() is None
    for log in system.folder.glob("*.log"):
        assert "Traceback" not in log.read_text(), log.read_text()[-3000:]


def test_processes_go_on_beside_messages_of_another_writer(system):
    """One message ended a process, or took the server out of use."""

    def publish():
        answer = system.publish("/Configuration.Replace", make_configuration([]), 0)
        return answer is not None and answer[0] == 200

    wait_until(publish, "accepted configuration")
    wait_until(system.announce_server, "announced server")
    check_system(system)

    @make_settings(BATCHES)
    @given(
        st.lists(_frames, min_size=1, max_size=20),
        make_odd_json(HEARTBEAT),
        make_odd_json(make_configuration([])),
        make_odd_json(ORDER),
        st.one_of(
            st.sampled_from(["a/b", "..", "\n", "x" * 9_000]), st.text(max_size=9)
        ),
    )
    def send_batch(batch, heartbeat, configuration, order, domain):
        send_messages(system, batch)
        node, operator = f"{system.node_host}:8144", system.operator
        path = "/Instances.Heartbeat/i-2"
        answer = exchange(node, "POST", path, body=heartbeat)
        assert answer is None or answer[0] in (200, 400)
        for path in ("/Configuration.Replace", "/Configuration.Update"):
            headers = {"Base-Version": "99"}
            answer = exchange(operator, "POST", path, headers, configuration)
            assert answer is None or answer[0] in (200, 400, 412, 503)
        path = "/Evacuation.Start/" + quote(domain, safe="")
        answer = exchange(operator, "POST", path)
        assert answer is None or answer[0] in (200, 400, 404, 503)
        answer = exchange(operator, "POST", "/Rollouts.Start", body=order)
        assert answer is None or answer[0] in (200, 400, 409, 503)
        system.announce_server()
        check_system(system)

    send_batch()
    assert (
        json.loads(exchange(system.operator, "GET", "/Configuration.Read")[2])[
            "version"
        ]
        == 1
    )
