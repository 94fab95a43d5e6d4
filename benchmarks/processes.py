"""Fixed costs of real processes: ``python -m benchmarks.processes``.

Nodes that stand idle, beside three control hosts, on loopback addresses. Processor
time and memory are the operating system's own figures for each process.
"""

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

    def stop(self) -> None:
        """End every process."""
        for process in self._running.values():
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


def show(size, role, pairs):
    """Print the mean of a role's processes."""

    def average(find):
        return sum(find(before, after) for before, after in pairs) / len(pairs)

    core = average(lambda x, y: y.processor_s - x.processor_s) / MEASURED_S * 100
    messages = average(lambda x, y: y.messages - x.messages) / MEASURED_S
    sent_bytes = average(lambda x, y: y.message_bytes - x.message_bytes) / MEASURED_S
    resident = average(lambda x, y: y.resident_kb) / KB_PER_MB
    anonymous = average(lambda x, y: y.anonymous_kb) / KB_PER_MB
    print(
        f"{size:>5} {role:<13} {core:6.2f}% of a core {messages:6.1f} messages/s"
        f" {sent_bytes:7.0f} B/s {resident:6.1f} MB resident"
        f" {anonymous:6.1f} MB anonymous",
        flush=True,
    )


def main(sizes=SIZES):
    """Measure each size."""
    for size in sizes:
        measure(size)


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
