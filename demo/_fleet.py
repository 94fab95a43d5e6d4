"""Processes of the demonstration: control hosts, nodes and servers."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import yaml

from sapphireway_state import dump_yaml

DOMAINS = ("bxl-a", "bxl-b", "mech-a")
SERVICES = ("matching", "ledger", "portal", "campo")
REGION = "be-central"
EXAMPLES = Path(__file__).parent.parent / "examples"
TOKEN = "demonstration-token"
STOP_TIMEOUT_S = 40.0
NODE_PORT, HTTP_PORT, ADMIN_PORT, SERVER_PORT = 7100, 8080, 9090, 9001


@dataclass(slots=True)
class Place:
    """Where one server and the node beside it run.

    Attributes
    ----------
    name : str
        Server id.
    host : str
        Loopback address of both.
    domain, service : str
    """

    name: str
    host: str
    domain: str
    service: str


def make_places() -> list[Place]:
    """Return one place for every service in every failure domain."""
    return [
        Place(f"{service}-{domain}", f"127.0.0.{10 + number}", domain, service)
        for number, (service, domain) in enumerate(
            (service, domain) for service in SERVICES for domain in DOMAINS
        )
    ]


class Fleet:
    """Starts, kills and stops the processes.

    Parameters
    ----------
    folder : Path
        Holds settings, logs, records and data folders.
    places : sequence of Place, default=one a service and domain
    """

    __slots__ = ("_processes", "control_hosts", "folder", "places")

    def __init__(self, folder: Path, places: Sequence[Place] | None = None):
        self._processes = {}
        self.folder = folder
        self.control_hosts = [f"127.0.0.{i + 1}" for i in range(len(DOMAINS))]
        self.places = list(places or make_places())

    @property
    def admin_addresses(self) -> list[str]:
        """Operators' addresses of the control hosts."""
        return [f"{host}:{ADMIN_PORT}" for host in self.control_hosts]

    def start(self) -> None:
        """Write the settings and start every process."""
        self._write_shared_files()
        for host, domain in zip(self.control_hosts, DOMAINS, strict=True):
            self._start_node(f"control-{domain}", host, domain, control=True)
        for place in self.places:
            self._start_node(f"node-{place.name}", place.host, place.domain)
            self.start_server(place)

    def start_server(self, place: Place) -> None:
        """Start the server of a place."""
        self._start(
            place.name,
            "demo.server",
            f"http://{place.host}:{ADMIN_PORT}",
            f"--server={place.name}",
            f"--service={place.service}",
            f"--host={place.host}",
            f"--port={SERVER_PORT}",
            "--slots=6",
            f"--record={self.folder / 'runs.jsonl'}",
        )

    def get_pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """End one process without notice."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> list[str]:
        """Stop every process; return the names of those that failed to."""
        for process in reversed(self._processes.values()):
            process.send_signal(signal.SIGTERM)
        failed = []
        for name, process in self._processes.items():
            try:
                code = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait()
            if code != 0:
                failed.append(f"{name} (exit status {code})")
        return failed

    def list_exited(self) -> list[str]:
        """Return the names of processes that ended on their own."""
        return [name for name, p in self._processes.items() if p.poll() is not None]

    def _write_shared_files(self):
        token = self.folder / "operator.token"
        token.touch(mode=0o600)
        token.write_text(TOKEN)
        tree = yaml.safe_load((EXAMPLES / "mertens.yaml").read_text())
        other = yaml.safe_load((EXAMPLES / "hielo-claro.yaml").read_text())
        tree["services"] |= other["services"]
        tree["domains"] = {domain: {} for domain in DOMAINS}
        (self.folder / "tree.yaml").write_text(dump_yaml(tree))

    def _start_node(self, name, host, domain, control=False):
        settings = {
            "address": f"{host}:{NODE_PORT}",
            "http_address": f"{host}:{HTTP_PORT}",
            "admin_address": f"{host}:{ADMIN_PORT}",
            "domain": domain,
            "region": REGION,
            "data_folder": str(self.folder / name),
            "control_hosts": [f"{h}:{NODE_PORT}" for h in self.control_hosts],
            "token_file": str(self.folder / "operator.token"),
            "trace_file": str(self.folder / f"{name}-spans.jsonl"),
        }
        if control:
            settings |= {
                "control": True,
                "bootstrap": True,
                "initial_tree": str(self.folder / "tree.yaml"),
            }
        path = self.folder / f"{name}.yaml"
        path.write_text(dump_yaml(settings))
        self._start(name, "sapphireway", "run", str(path))

    def _start(self, name, module, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
