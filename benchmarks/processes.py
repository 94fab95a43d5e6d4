"""Idle usage of real processes, and the time until edits are in force in them.

Run by ``python -m benchmarks.processes``.

Idle nodes and three control hosts run on loopback addresses. Processor time and
memory are the operating system's figures for each process.
"""

import json
import math
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from sapphireway_state import dump_yaml

EXAMPLE = Path(__file__).parent.parent / "examples" / "mertens.yaml"
HOST_PREFIX = "127.0.77"
CONTROL_HOSTS = 3
SIZES = (12, 36)
SETTLE_S = 12.0
MEASURED_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024
TOKEN = "benchmark-operator-token"
EDITS = 3
APPLY_WAIT_S = 6.0
REQUEST_TIMEOUT_S = 20.0
QUANTILE = 0.99


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Resource usage of one process since its start.

    Attributes
    ----------
    processor_s : float
    resident_kb, anonymous_kb : int
        All resident memory, and the part that is not mapped from files.
    messages, message_bytes : float
        Sent to other processes.
    """

    processor_s: float
    resident_kb: int
    anonymous_kb: int
    messages: float
    message_bytes: float


class Processes:
    """Idle nodes and control hosts with their files in one folder.

    Parameters
    ----------
    folder : Path
    nodes : int
    """

    __slots__ = ("_folder", "_running", "hosts")

    def __init__(self, folder: Path, nodes: int):
        self._folder = folder
        self._running = {}
        self.hosts = [f"{HOST_PREFIX}.{i + 1}" for i in range(CONTROL_HOSTS + nodes)]

    @property
    def control_hosts(self) -> list[str]:
        """IP addresses of the control hosts."""
        return self.hosts[:CONTROL_HOSTS]

    def start(self) -> None:
        """Start every process."""
        token = self._folder / "token"
        token.touch(mode=0o600)
        token.write_text(TOKEN)
        for number, host in enumerate(self.hosts):
            self.start_process(host, f"domain-{number % CONTROL_HOSTS}")

    def start_process(self, host: str, domain: str) -> None:
        """Start the process of one host."""
        settings = {
            "address": f"{host}:7100",
            "http_address": f"{host}:8080",
            "admin_address": f"{host}:9090",
            "domain": domain,
            "region": "be-central",
            "data_folder": str(self._folder / host),
            "control_hosts": [f"{control}:7100" for control in self.control_hosts],
            "token_file": str(self._folder / "token"),
        }
        if host in self.control_hosts:
            settings |= {"control": True, "bootstrap": True}
            settings["initial_tree"] = str(EXAMPLE)
        path = self._folder / f"{host}.yaml"
        path.write_text(dump_yaml(settings))
        with open(self._folder / f"{host}.log", "ab") as log:
            self._running[host] = subprocess.Popen(
                [sys.executable, "-m", "sapphireway", "run", str(path)],
                stdout=log,
                stderr=log,
            )

    def read_usage(self, host: str) -> ProcessUsage:
        """Return the usage of the host's process."""
        folder = Path("/proc") / str(self._running[host].pid)
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        status = (folder / "status").read_text()
        metrics = fetch_metrics(host)
        return ProcessUsage(
            (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
            int(re.search(r"VmRSS:\s+(\d+)", status)[1]),
            int(re.search(r"RssAnon:\s+(\d+)", status)[1]),
            metrics["sapphireway_peer_messages_sent"],
            metrics["sapphireway_peer_bytes_sent"],
        )

    def send_signal(self, host: str, number: int) -> None:
        """Send a signal to the host's process."""
        self._running[host].send_signal(number)

    def stop(self) -> None:
        """Stop every process, including suspended ones."""
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            process.wait()


def fetch_metrics(host):
    """Return the values of a process's metrics that have no labels."""
    with urllib.request.urlopen(f"http://{host}:9090/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    pairs = [line.split() for line in lines if not line.startswith("#")]
    return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}


def measure(size):
    """Measure one size and print its rows."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), size)
        try:
            processes.start()
            time.sleep(SETTLE_S + size / 4)
            before = {host: processes.read_usage(host) for host in processes.hosts}
            time.sleep(MEASURED_S)
            after = {host: processes.read_usage(host) for host in processes.hosts}
        finally:
            processes.stop()
    controls = processes.control_hosts
    print_usage(size, "control host", [(before[h], after[h]) for h in controls])
    nodes = processes.hosts[CONTROL_HOSTS:]
    print_usage(size, "node", [(before[h], after[h]) for h in nodes])


def print_usage(size, role, pairs, measured_s=MEASURED_S):
    """Print the mean usage of a role's processes."""

    def average(get_value):
        return sum(get_value(before, after) for before, after in pairs) / len(pairs)

    core_percent = (
        average(lambda x, y: y.processor_s - x.processor_s) / measured_s * 100
    )
    messages = average(lambda x, y: y.messages - x.messages) / measured_s
    sent_bytes = average(lambda x, y: y.message_bytes - x.message_bytes) / measured_s
    resident_mb = average(lambda x, y: y.resident_kb) / KB_PER_MB
    anonymous_mb = average(lambda x, y: y.anonymous_kb) / KB_PER_MB
    print(
        f"{size:>5g} {role:<13} {core_percent:6.2f}% of a core"
        f" {messages:6.1f} messages/s {sent_bytes:7.0f} B/s"
        f" {resident_mb:6.1f} MB resident {anonymous_mb:6.1f} MB anonymous",
        flush=True,
    )


def request_json(host, path, body=None):
    """Return the decoded answer of a process's operator API."""
    request = urllib.request.Request(f"http://{host}:9090{path}")
    request.add_header("Authorization", f"Bearer {TOKEN}")
    if body is not None:
        request.data = json.dumps(body).encode()
    with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as answer:
        return json.load(answer)


def measure_edit(processes, api_host, number, unreachable):
    """Return seconds until 99% and all have applied an edit, and how many have not."""
    base = request_json(api_host, "/v1/settings")["version"]
    operations = [{"op": "set", "path": "deadline_ms", "value": 2000 + number}]
    body = {
        "edit_id": f"edit-{time.time()}",
        "base": base,
        "operations": operations,
        "operator": "benchmark",
    }
    version = request_json(api_host, "/v1/edits", body)["version"]
    accepted_s = time.time()
    time.sleep(APPLY_WAIT_S)
    report = request_json(api_host, "/v1/status")
    now_s = time.time()
    nodes = [
        n for n in report["nodes"] if n["node"].rpartition(":")[0] not in unreachable
    ]
    durations_s = sorted(
        max(0.0, now_s - n["in_force_s"] - accepted_s)
        for n in nodes
        if n["version"] >= version
    )
    missing = len(processes.hosts) - len(unreachable) - len(durations_s)
    durations_s.extend([float("inf")] * missing)
    return (
        durations_s[math.ceil(QUANTILE * len(durations_s)) - 1],
        durations_s[-1],
        missing,
    )


def measure_in_force(size):
    """Print how long edits take with all hosts, one suspended, and a killed leader."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), size)
        try:
            processes.start()
            time.sleep(SETTLE_S + size / 4)
            for condition in ("calm", "frozen", "killed"):
                measure_condition(processes, condition)
        finally:
            processes.stop()


def measure_condition(processes, condition):
    """Measure edits under one condition and print the slowest."""
    api_host = processes.hosts[-1]
    leader = request_json(api_host, "/v1/status")["leader"].rpartition(":")[0]
    others = [host for host in processes.control_hosts if host != leader]
    unreachable = set()
    if condition == "frozen":
        unreachable = {others[0]}
        processes.send_signal(others[0], signal.SIGSTOP)
    elif condition == "killed":
        unreachable = {leader}
        processes.send_signal(leader, signal.SIGKILL)
    rows = [measure_edit(processes, api_host, n, unreachable) for n in range(EDITS)]
    if condition == "frozen":
        processes.send_signal(others[0], signal.SIGCONT)
        time.sleep(SETTLE_S)
    p99_s, all_s, missing = (max(row[i] for row in rows) for i in range(3))
    print(
        f"{len(processes.hosts):>5} {condition:<7} worst of {EDITS} edits: 99% in"
        f" {p99_s:.2f} s, all in {all_s:.2f} s, not applied: {missing}",
        flush=True,
    )


def main(sizes=SIZES):
    """Measure usage at each size, and edits at the last one."""
    for size in sizes:
        measure(size)
    measure_in_force(sizes[-1])


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
