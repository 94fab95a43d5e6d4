"""Fixed costs of real processes, and edits coming into force at them.

Run by ``python -m benchmarks.processes``.

Nodes that stand idle, beside three control hosts, on loopback addresses. Processor
time and memory are the operating system's own figures for each process.
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
HOSTS = "127.0.77"
CONTROL_HOSTS = 3
SIZES = (12, 36)
SETTLE_S = 12.0
MEASURED_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024
TOKEN = "benchmark-operator-token"
EDITS = 3
EDIT_WAIT_S = 6.0
EDIT_TIMEOUT_S = 20.0
MOST = 0.99


@dataclass(slots=True, frozen=True)
class Reading:
    """What one process has used so far.

    Attributes
    ----------
    processor_s : float
    resident_kb, anonymous_kb : int
        All resident memory, and the part that is no file's.
    messages, message_bytes : float
        Sent to peers.
    """

    processor_s: float
    resident_kb: int
    anonymous_kb: int
    messages: float
    message_bytes: float


class Processes:
    """Idle nodes and control hosts in one folder.

    Parameters
    ----------
    folder : Path
    nodes : int
    """

    __slots__ = ("_folder", "_running", "hosts")

    def __init__(self, folder: Path, nodes: int):
        self._folder = folder
        self._running = {}
        self.hosts = [f"{HOSTS}.{i + 1}" for i in range(CONTROL_HOSTS + nodes)]

    @property
    def control_hosts(self) -> list[str]:
        """Addresses of the processes with the control role."""
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

    def read(self, host: str) -> Reading:
        """Return what the host's process has used."""
        folder = Path("/proc") / str(self._running[host].pid)
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        status = (folder / "status").read_text()
        metrics = fetch_metrics(host)
        return Reading(
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
        """End every process."""
        for process in self._running.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            process.wait()


def fetch_metrics(host):
    """Return the values of a process's metrics without labels."""
    with urllib.request.urlopen(f"http://{host}:9090/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    pairs = [line.split() for line in lines if not line.startswith("#")]
    return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}


def measure(size):
    """Print the rows of one size."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), size)
        try:
            processes.start()
            time.sleep(SETTLE_S + size / 4)
            before = {host: processes.read(host) for host in processes.hosts}
            time.sleep(MEASURED_S)
            after = {host: processes.read(host) for host in processes.hosts}
        finally:
            processes.stop()
    controls = processes.control_hosts
    show(size, "control host", [(before[h], after[h]) for h in controls])
    nodes = processes.hosts[CONTROL_HOSTS:]
    show(size, "node", [(before[h], after[h]) for h in nodes])


def show(size, role, pairs, measured_s=MEASURED_S):
    """Print the mean of a role's processes."""

    def average(find):
        return sum(find(before, after) for before, after in pairs) / len(pairs)

    core = average(lambda x, y: y.processor_s - x.processor_s) / measured_s * 100
    messages = average(lambda x, y: y.messages - x.messages) / measured_s
    sent_bytes = average(lambda x, y: y.message_bytes - x.message_bytes) / measured_s
    resident = average(lambda x, y: y.resident_kb) / KB_PER_MB
    anonymous = average(lambda x, y: y.anonymous_kb) / KB_PER_MB
    print(
        f"{size:>5g} {role:<13} {core:6.2f}% of a core {messages:6.1f} messages/s"
        f" {sent_bytes:7.0f} B/s {resident:6.1f} MB resident"
        f" {anonymous:6.1f} MB anonymous",
        flush=True,
    )


def ask(host, path, body=None):
    """Return the decoded answer of a process's operator address."""
    request = urllib.request.Request(f"http://{host}:9090{path}")
    request.add_header("Authorization", f"Bearer {TOKEN}")
    if body is not None:
        request.data = json.dumps(body).encode()
    with urllib.request.urlopen(request, timeout=EDIT_TIMEOUT_S) as answer:
        return json.load(answer)


def measure_edit(processes, asked, number, lost):
    """Return seconds until 99% and all have an edit, and how many lack it."""
    base = ask(asked, "/v1/settings")["version"]
    operations = [{"op": "set", "path": "deadline_ms", "value": 2000 + number}]
    body = {
        "edit_id": f"edit-{time.time()}",
        "base": base,
        "operations": operations,
        "operator": "benchmark",
    }
    version = ask(asked, "/v1/edits", body)["version"]
    accepted_s = time.time()
    time.sleep(EDIT_WAIT_S)
    report = ask(asked, "/v1/status")
    now_s = time.time()
    nodes = [n for n in report["nodes"] if n["node"].rpartition(":")[0] not in lost]
    took = sorted(
        max(0.0, now_s - n["in_force_s"] - accepted_s)
        for n in nodes
        if n["version"] >= version
    )
    missing = len(processes.hosts) - len(lost) - len(took)
    took.extend([float("inf")] * missing)
    return took[math.ceil(MOST * len(took)) - 1], took[-1], missing


def measure_in_force(size):
    """Print how long edits take with all hosts, one frozen, and the leader killed."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), size)
        try:
            processes.start()
            time.sleep(SETTLE_S + size / 4)
            for condition in ("calm", "frozen", "killed"):
                show_in_force(processes, condition)
        finally:
            processes.stop()


def show_in_force(processes, condition):
    """Print the worst of some edits under one condition."""
    asked = processes.hosts[-1]
    leader = ask(asked, "/v1/status")["leader"].rpartition(":")[0]
    others = [host for host in processes.control_hosts if host != leader]
    lost = set()
    if condition == "frozen":
        lost = {others[0]}
        processes.send_signal(others[0], signal.SIGSTOP)
    elif condition == "killed":
        lost = {leader}
        processes.send_signal(leader, signal.SIGKILL)
    rows = [measure_edit(processes, asked, n, lost) for n in range(EDITS)]
    if condition == "frozen":
        processes.send_signal(others[0], signal.SIGCONT)
        time.sleep(SETTLE_S)
    most, last, missing = (max(row[i] for row in rows) for i in range(3))
    print(
        f"{len(processes.hosts):>5} {condition:<7} worst of {EDITS} edits: 99% in"
        f" {most:.2f} s, all in {last:.2f} s, without it: {missing}",
        flush=True,
    )


def main(sizes=SIZES):
    """Measure each size, and edits at the last one."""
    for size in sizes:
        measure(size)
    measure_in_force(sizes[-1])


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
