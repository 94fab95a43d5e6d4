"""API keys at real processes on the platform: what servers, callers and logs get."""

import contextlib
import http.client
import http.server
import json
import os
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from sapphireway_state import digest_access_key
from tests.evidence import Timeline, keep_evidence
from tests.platform_adapter.test_settings import CONTROL, NODE
from tests.processes.harness import choose_network_prefix

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 20.0
BOUND_S = 1.5
PROOF_MAX_S = 1.2  # a table without tenants is used under a proof as old as this
KEYS = ["secret-north-1", "secret-north-2", "secret-south", "secret-unknown"]


class _Server(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    received = None

    def do_GET(self):
        if not self.path.startswith("/health"):
            self.received.append(dict(self.headers.items()))
        self.send_response(200)
        self.send_header("Response-Signature", "s")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def do_POST(self):
        left = int(self.headers.get("Content-Length", 0))
        while left:
            left -= len(self.rfile.read(min(left, 65536)))
        self.do_GET()

    def log_message(self, *args):
        pass


def exchange(address, method, path, headers=None, body=None):
    """Return status, headers and body of one exchange; None if it fails."""
    connection = http.client.HTTPConnection(address, timeout=5.0)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    except OSError:
        return None
    finally:
        connection.close()


def wait_until(act, what):
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        result = act()
        if result:
            return result
        time.sleep(0.1)
    pytest.fail(f"no {what} within {TIMEOUT_S} s")


def make_configuration(tenants):
    def make_route(name, open_access):
        return {
            "name": name,
            "path_prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout": "2s",
            "service": "huvo11a",
            "max_attempts": 1,
            "anonymous_access": open_access,
        }

    routes = [make_route("keyed", False), make_route("open", True)]
    return {
        "version": 1,
        "services": [{"name": "huvo11a"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "virtual_hosts": [{"host": "a.example", "route_paths": routes}],
        "tenants": tenants,
    }


class System:
    """A control host, a node and its server."""

    def __init__(self, folder):
        prefix = choose_network_prefix(200)
        self.folder = folder
        self.control_host, self.node_host = f"{prefix}.1", f"{prefix}.2"
        self.operator = f"{self.control_host}:8144"
        self.entry = f"{self.node_host}:8147"
        self.processes = {}
        self.timeline = Timeline()
        self.received = []
        handler = type("Handler", (_Server,), {"received": self.received})
        self.server = http.server.ThreadingHTTPServer((f"{prefix}.3", 0), handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def start(self, name, document):
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(document))
        environment = {**os.environ, "SAPPHIREWAY_BOOT": str(file)}
        command = [sys.executable, str(ROOT / "platform/start.py")]
        self.timeline.record("start", process=name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    def start_all(self):
        bounds = NODE["bounds"] | {
            "revocation": f"{BOUND_S * 1000:.0f}ms",
            "revocation_strict": True,
        }
        common = {"seed_nodes": [self.operator], "bounds": bounds}
        control = {
            "ip_address": self.control_host,
            "listen_addresses": {"control_plane": self.operator},
            "data_directory": str(self.folder / "control-data"),
        }
        node = {
            "ip_address": self.node_host,
            "listen_addresses": {
                "outbound": self.entry,
                "ready": f"{self.node_host}:8141",
                "control_plane": f"{self.node_host}:8144",
            },
            "application_address": "{}:{}".format(*self.server.server_address),
        }
        self.start("control", CONTROL | common | control)
        self.start("node", NODE | common | node)

    def publish(self, path, document, base):
        headers = {"Base-Version": str(base)}
        return exchange(self.operator, "POST", path, headers, json.dumps(document))

    def announce_server(self, **fields):
        """Send a heartbeat, with these fields in place of its own."""
        host, port = self.server.server_address
        heartbeat = {
            "service": "huvo11a",
            "address": f"{host}:{port}",
            "zone": "rincon",
            "version": "v1",
            "capacity_slots": 4,
            "state": "ready",
            "seq": 1,
        }
        return self.call_node("/Instances.Heartbeat/i-1", heartbeat | fields)

    def call_node(self, path, document):
        body = json.dumps(document)
        return exchange(f"{self.node_host}:8144", "POST", path, body=body)

    def send(self, path, key=None, **headers):
        headers = {"Host": "a.example", **headers}
        if key is not None:
            headers["Api-Key"] = key
        return exchange(self.entry, "GET", path, headers)

    def kill(self, name):
        self.timeline.record("kill", process=name)
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self):
        for name in list(self.processes):
            self.kill(name)
        self.server.shutdown()
        self.server.server_close()


@contextlib.contextmanager
def run_system(folder, request, name, make_system=System):
    """Run a system; keep its evidence under `name` if a test fails."""
    system = make_system(folder)
    failed = request.session.testsfailed
    try:
        system.start_all()
        yield system
    finally:
        system.stop()
        if request.session.testsfailed > failed:
            print(keep_evidence(folder, name, system.timeline))


@pytest.fixture
def system(tmp_path, request):
    with run_system(tmp_path, request, "keys") as system:
        yield system


def test_keys_are_checked_and_written_nowhere(system):
    tenants = [
        {"name": "north", "api_keys": KEYS[:2], "priority": 0},
        {"name": "south", "api_keys": KEYS[2:3]},
    ]
    replace, update = "/Configuration.Replace", "/Configuration.Update"
    shared = [*tenants, {"name": "east", "api_keys": KEYS[:1]}]

    def publish():
        answer = system.publish(replace, make_configuration(tenants), 0)
        return answer is not None and answer[0] == 200

    wait_until(publish, "accepted configuration")
    refused = system.publish(replace, make_configuration(shared) | {"version": 2}, 1)
    assert refused[0] == 400 and digest_access_key(KEYS[0]) in refused[2]
    outputs = [refused[2]]
    wait_until(system.announce_server, "announced server")

    def is_served():
        answer = system.send("/keyed/1", KEYS[0], **{"Tenant-Name": "other"})
        return answer is not None and answer[0] == 200

    wait_until(is_served, "answer for a key")
    received = {name.lower(): value for name, value in system.received[-1].items()}
    assert received["tenant-name"] == "north" and "api-key" not in received
    assert system.send("/open/1")[0] == 200
    assert system.send("/open/1", KEYS[3])[0] == 200
    assert KEYS[3] not in str(system.received)
    for key in (None, KEYS[3]):
        status, _, body = system.send("/keyed/1", key, **{"Request-Id": "r-401"})
        assert status == 401
        outputs.append(body)

    removed = tenants[0] | {"api_keys": KEYS[1:2]}
    change = {"version": 3, "upsert": {"tenants": [removed]}}
    assert system.publish(update, change, 1)[0] == 200
    wait_until(lambda: system.send("/keyed/1", KEYS[0])[0] == 401, "removed key")
    assert system.send("/keyed/1", KEYS[1])[0] == 200
    read = exchange(system.operator, "GET", "/Configuration.Read")
    assert json.loads(read[2])["tenants"] == [removed, tenants[1]]

    for host in (system.control_host, system.node_host):
        outputs.append(exchange(f"{host}:9400", "GET", "/metrics")[2])
    assert 'event="KeyRefused"' in outputs[-1]
    system.kill("control")
    time.sleep(BOUND_S)
    status, headers, body = system.send("/keyed/1", KEYS[1])
    assert status == 503 and "unconfirmed" in body
    assert float(headers["Retry-After"]) > 0
    assert system.send("/open/1", KEYS[1])[0] == 503
    assert system.send("/open/1")[0] == 200
    outputs += [body, exchange(f"{system.node_host}:9400", "GET", "/metrics")[2]]
    system.stop()

    outputs += [path.read_text() for path in system.folder.glob("*.log")]
    written = "\n".join(outputs)
    assert digest_access_key(KEYS[3]) in written
    assert "confirmation_lost" in written and "call_unadmitted" in written
    assert [key for key in KEYS if key in written] == []


@pytest.mark.parametrize("killed", ["control", "node"])
@pytest.mark.parametrize("change", ["first", "last"])
def test_key_is_not_passed_on_by_a_node_without_the_newest_tenants(
    system, killed, change
):
    """Nodes passed keys on, and ran unknown ones, until they had the first tenants."""
    replace = "/Configuration.Replace"
    tenants = [{"name": "north", "api_keys": KEYS[:1]}]
    before, after = ([], tenants) if change == "first" else (tenants, [])

    def publish():
        answer = system.publish(replace, make_configuration(before), 0)
        return answer is not None and answer[0] == 200

    wait_until(publish, "accepted configuration")
    wait_until(system.announce_server, "announced server")

    def is_served():
        answer = system.send("/keyed/1", KEYS[0])
        return answer is not None and answer[0] == 200

    wait_until(is_served, "answer for a key")
    document = make_configuration(after) | {"version": 2}
    assert system.publish(replace, document, 1)[0] == 200
    settings = json.loads((system.folder / f"{killed}.json").read_text())
    system.kill(killed)
    del system.received[:]
    time.sleep(PROOF_MAX_S)
    for _ in range(5):
        for key in (KEYS[0], KEYS[3]):
            system.send("/keyed/2", key, **{"Tenant-Name": "other", "X-Sent": key})
    system.start(killed, settings | {"initial_bootstrap": False})
    wait_until(system.announce_server, "announced server")

    def has_newest_tenants():
        status = (system.send("/keyed/2", KEYS[3], **{"X-Sent": KEYS[3]}) or [0])[0]
        return status == (401 if change == "first" else 200)

    wait_until(has_newest_tenants, "newest tenants")
    wait_until(is_served, "answer for a key")
    names = [{k.lower(): v for k, v in each.items()} for each in system.received]
    assert [each for each in names if "api-key" in each] == []
    assert "other" not in [each.get("tenant-name") for each in names]
    if change == "first":
        assert [each for each in names if each.get("x-sent") == KEYS[3]] == []
        with_key = [each for each in names if each.get("x-sent") == KEYS[0]]
        assert {each["tenant-name"] for each in with_key} <= {"north"}
    last = names[-1].get("tenant-name")
    assert last == ("north" if change == "first" else None)
