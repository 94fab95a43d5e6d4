"""Crowds at real processes: each lives, stays in its memory, and serves others."""

import contextlib
import http.client
import resource
import time
from pathlib import Path

import pytest

from tests.crowds.crowd import run_crowd
from tests.evidence import keep_evidence
from tests.platform_adapter.test_key_processes import (
    System,
    make_configuration,
    wait_until,
)
from tests.platform_adapter.test_settings import NODE

MEMORY_MB = 128
DESCRIPTORS = 1024
FEW_DESCRIPTORS = 256
TOLD_DESCRIPTORS = 4_100
BODY_MAX_BYTES = 16 * 2**20
CROWD_S = 5.0
SAMPLE_S = 0.1

REQUEST = b"GET /open/1 HTTP/1.1\r\nHost: a.example\r\n"
UPLOAD = b"POST /open/1 HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + bytes(65536) + b"\r\n"
HEADER_LINES = b"a:\r\n" * 3_900
SHORT_NAMES = b"".join(b"%x:\r\n" % number for number in range(2_400))


class SmallSystem(System):
    """A system whose processes have little memory and few descriptors."""

    def __init__(self, folder, descriptors, told_descriptors=None):
        super().__init__(folder)
        self.descriptors = descriptors
        self.told_descriptors = told_descriptors or descriptors

    def start(self, name, document):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, hard))
        limits = {"memory_mb": MEMORY_MB, "file_descriptors": self.told_descriptors}
        try:
            super().start(name, document | {"limits": limits})
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def start_entry(self, number):
        """Start a node without a server; return the address for its callers."""
        prefix = self.node_host.rpartition(".")[0]
        host = f"{prefix}.{number}"
        entry = f"{host}:8147"
        ports = {"outbound": entry, "ready": f"{host}:8141"}
        self.start(
            f"node-{number}",
            NODE
            | {
                "node_name": f"sidecar-bxl-a-{number}",
                "ip_address": host,
                "seed_nodes": [self.operator],
                "listen_addresses": ports | {"control_plane": f"{host}:8144"},
                "application_address": None,
            },
        )
        return entry

    def get_address(self, port):
        """Return the address of a port by its name."""
        if port == "operator":
            return self.operator
        number = {
            "outbound": 8147,
            "ready": 8141,
            "control_plane": 8144,
            "metrics": 9400,
            "admin": 7381,
        }[port]
        return f"{self.node_host}:{number}"


def read_peak_mb(process):
    """Return the most memory that a process has had."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def count_descriptors(process):
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def send_upload(entry, size):
    """Return the status of one complete upload."""
    connection = http.client.HTTPConnection(entry, timeout=30.0)
    try:
        connection.request("POST", "/open/1", bytes(size), {"Host": "a.example"})
        return connection.getresponse().status
    finally:
        connection.close()


@contextlib.contextmanager
def run_small_system(folder, request, *descriptors):
    """Run a system that serves; keep its evidence if a test fails."""
    system = SmallSystem(folder, *descriptors)
    failed = request.session.testsfailed
    try:
        system.start_all()
        configuration = make_configuration([])
        configuration["limits"]["max_body_bytes"] = BODY_MAX_BYTES

        def publish():
            answer = system.publish("/Configuration.Replace", configuration, 0)
            return answer is not None and answer[0] == 200

        wait_until(publish, "accepted configuration")
        wait_until(lambda: is_served(system), "answer of the server")
        yield system
    finally:
        system.stop()
        if request.session.testsfailed > failed:
            print(keep_evidence(folder, "crowds", system.timeline))


@pytest.fixture
def system(tmp_path, request):
    with run_small_system(tmp_path, request, DESCRIPTORS) as system:
        yield system


@pytest.fixture
def scarce_system(tmp_path, request):
    with run_small_system(tmp_path, request, FEW_DESCRIPTORS) as system:
        yield system


@pytest.fixture
def wrongly_told_system(tmp_path, request):
    descriptors = (FEW_DESCRIPTORS, TOLD_DESCRIPTORS)
    with run_small_system(tmp_path, request, *descriptors) as system:
        yield system


def is_served(system):
    system.announce_server()
    answer = system.send("/open/1")
    return answer is not None and answer[0] == 200


def watch(system, crowd):
    """Check all processes until the crowd has ended."""
    while crowd.poll() is None:
        for name, process in system.processes.items():
            assert process.poll() is None, f"{name} ended"
            assert count_descriptors(process) <= system.descriptors
        time.sleep(SAMPLE_S)


def check(system):
    """Check that all processes are sound, and that one request is answered."""
    wait_until(lambda: is_served(system), "answer after the crowd")
    for name, process in system.processes.items():
        assert process.poll() is None, f"{name} ended"
        assert read_peak_mb(process) < MEMORY_MB, name


@pytest.mark.parametrize(
    ("count", "begin", "piece", "repeats"),
    [
        (16, CHUNKED, CHUNK, 192),
        (500, REQUEST + HEADER_LINES, b"", 0),
        (500, REQUEST + HEADER_LINES + b"\r\n", b"", 0),
        (500, UPLOAD + SHORT_NAMES + b"Content-Length: 200000\r\n\r\n", b"x", 199_999),
        (64, CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n", 10**9),
        (64, CHUNKED, b"1\r\nx\r\n", 10**9),
        (64, b"GET /", b"x", 10**9),
        (64, b"", b"\r\n", 10**9),
        (64, b"", REQUEST + b"\r\n", 10**9),
        (16, UPLOAD + b"Content-Length: 16777216\r\n\r\n", b"x", 16_777_215),
    ],
    ids=[
        "chunked bodies without end",
        "heads of short lines without end",
        "requests of short lines",
        "bodies behind short lines",
        "trailers without end",
        "chunks of one byte",
        "request lines without end",
        "empty lines",
        "pipelined requests",
        "bodies without their last byte",
    ],
)
def test_crowd_of_callers_leaves_a_node_in_its_memory(
    system, count, begin, piece, repeats
):
    with run_crowd(system.entry, count, CROWD_S, begin, piece, repeats) as crowd:
        watch(system, crowd)
    check(system)


@pytest.mark.parametrize(
    "port", ["ready", "control_plane", "metrics", "admin", "operator"]
)
@pytest.mark.parametrize(
    ("count", "begin", "piece", "repeats"),
    [
        (64, b"GET / HTTP/1.1\r\n", b"a:\r\n", 10**9),
        (500, b"GET / HTTP/1.1\r\n" + HEADER_LINES, b"", 0),
        (64, b"", b"\r\n", 10**9),
        (32, b"POST / HTTP/1.1\r\nContent-Length: 16000000\r\n\r\n", b"x", 15_999_999),
    ],
    ids=["head without end", "unfinished heads", "empty lines", "bodies"],
)
def test_crowd_at_another_port_leaves_a_process_in_its_memory(
    system, port, count, begin, piece, repeats
):
    address = system.get_address(port)
    with run_crowd(address, count, CROWD_S, begin, piece, repeats) as crowd:
        watch(system, crowd)
    check(system)


@pytest.mark.parametrize(
    "port", ["outbound", "ready", "control_plane", "metrics", "admin", "operator"]
)
def test_idle_connections_leave_descriptors_for_callers(scarce_system, port):
    with run_crowd(scarce_system.get_address(port), 400, CROWD_S, b"", b"", 0) as crowd:
        time.sleep(CROWD_S / 4)
        wait_until(lambda: is_served(scarce_system), "answer beside idle connections")
        assert crowd.poll() is None, "no answer while the crowd was there"
        watch(scarce_system, crowd)
    check(scarce_system)


def test_idle_connections_leave_descriptors_if_settings_tell_too_many(
    wrongly_told_system,
):
    system = wrongly_told_system
    with run_crowd(system.entry, 400, CROWD_S, b"", b"", 0) as crowd:
        time.sleep(CROWD_S / 4)
        wait_until(lambda: is_served(system), "answer beside idle connections")
        assert crowd.poll() is None, "no answer while the crowd was there"
        watch(system, crowd)
    check(system)


def test_idle_connections_at_all_ports_leave_descriptors_for_callers(scarce_system):
    ports = ("outbound", "ready", "control_plane", "metrics", "admin")
    with contextlib.ExitStack() as crowds:
        running = [
            crowds.enter_context(
                run_crowd(scarce_system.get_address(port), 100, CROWD_S, b"", b"", 0)
            )
            for port in ports
        ]
        time.sleep(CROWD_S / 4)
        wait_until(lambda: is_served(scarce_system), "answer beside idle connections")
        assert running[-1].poll() is None, "no answer while the crowd was there"
        watch(scarce_system, running[-1])
    check(scarce_system)


@pytest.mark.parametrize(
    ("count", "size"), [(32, 2_000_000), (8, 12_000_000)], ids=["many", "large"]
)
def test_uploads_through_other_nodes_leave_a_node_in_its_memory(system, count, size):
    entries = [system.start_entry(number) for number in (4, 5, 6)]

    def is_ready(entry):
        system.announce_server()
        with contextlib.suppress(OSError, http.client.HTTPException):
            return send_upload(entry, 10) == 200
        return False

    for entry in entries:
        wait_until(lambda entry=entry: is_ready(entry), f"answer through {entry}")
    head = UPLOAD + b"Content-Length: %d\r\n\r\n" % size
    with contextlib.ExitStack() as crowds:
        running = [
            crowds.enter_context(run_crowd(entry, count, CROWD_S, head, b"x", size))
            for entry in entries
        ]
        watch(system, running[-1])
    check(system)


def test_largest_body_is_served_in_calm(system):
    wait_until(
        lambda: send_upload(system.entry, BODY_MAX_BYTES) == 200, "answer to an upload"
    )
    check(system)
