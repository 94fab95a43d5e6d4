"""Departures of a server at real processes that are killed."""

import json

import pytest

from tests.platform_adapter.test_key_processes import (
    exchange,
    make_configuration,
    run_system,
    wait_until,
)


@pytest.fixture
def system(tmp_path, request):
    with run_system(tmp_path, request, "departures") as system:
        yield system


def restart(system, name):
    document = json.loads((system.folder / f"{name}.json").read_text())
    system.kill(name)
    system.start(name, document | {"initial_bootstrap": False})


def send_heartbeat(system, born, seq):
    answer = system.announce_server(born=born, seq=seq)
    return answer is not None and answer[0] == 200


def is_served(system):
    answer = system.send("/open/1")
    return answer is not None and answer[0] == 200


def is_ready(system):
    answer = exchange(f"{system.node_host}:8141", "GET", "/readiness")
    return answer is not None and answer[0] == 200


@pytest.mark.parametrize("killed", [["node"], ["node", "control"]])
def test_killed_node_does_not_use_its_departed_server_again(system, killed):
    """A heartbeat from before the departure registered the server again."""

    def publish():
        answer = system.publish("/Configuration.Replace", make_configuration([]), 0)
        return answer is not None and answer[0] == 200

    wait_until(publish, "accepted configuration")
    wait_until(lambda: send_heartbeat(system, 1000, 1), "announced server")
    wait_until(lambda: is_served(system), "answer of the server")
    departure = {"born": 1000}
    assert system.call_node("/Instances.Deregister/i-1", departure)[0] == 200
    for name in killed:
        restart(system, name)
    wait_until(lambda: is_ready(system), "readiness")
    received = len(system.received)
    for seq in range(2, 12):
        send_heartbeat(system, 1000, seq)
        assert not is_served(system)
    assert len(system.received) == received

    # Another start of the server is used.
    wait_until(
        lambda: send_heartbeat(system, 2000, 1) and is_served(system),
        "answer of the next start",
    )
