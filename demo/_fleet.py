"""Processes of the demonstration: control hosts, nodes and servers."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

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
    """The location of one server and its node.

    Attributes
    ----------
    name : str
        Server id.
    host : str
        Loopback address of the server and its node.
    domain, service : str
    url : str
        URL at which the node reaches the server, if not at its own address.
    version : str
        Version of the server's software; "" if it announces none.
    """

    name: str
    host: str
    domain: str
    service: str
    url: str = ""
    version: str = ""


def make_places() -> list[Place]:
    """Return one place for each service in each failure domain."""
    return [
        Place(f"{service}-{domain}", f"127.0.0.{10 + number}", domain, service)
        for number, (service, domain) in enumerate(
            (service, domain) for service in SERVICES for domain in DOMAINS
        )
    ]


class Fleet:
    """Starts, signals and stops the processes.

    Parameters
    ----------
    folder : Path
        Contains settings, logs, records and data folders.
    places : sequence of Place, default=one per service and domain
    network : str
        First three octets of the control hosts' loopback addresses.
    tree : dict, default=both example deployments
        Initial settings tree of the control hosts.
    """

    __slots__ = ("_processes", "_tree", "control_hosts", "folder", "places")

    def __init__(
        self,
        folder: Path,
        places: Sequence[Place] | None = None,
        network: str = "127.0.0",
        tree: dict[str, Any] | None = None,
    ):
        self._processes = {}
        self._tree = _read_examples() if tree is None else tree
        self.folder = folder
        self.control_hosts = [f"{network}.{i + 1}" for i in range(len(DOMAINS))]
        self.places = list(places or make_places())

    @property
    def admin_addresses(self) -> list[str]:
        """Admin addresses of the control hosts."""
        return [f"{host}:{ADMIN_PORT}" for host in self.control_hosts]

    def start(self) -> None:
        """Write the settings and start every process."""
        self._write_shared_files()
        for host in self.control_hosts:
            self.start_control(host)
        for place in self.places:
            self.start_node(place)
            self.start_server(place)

    def start_control(self, host: str) -> None:
        """Start the control host with this address."""
        domain = DOMAINS[self.control_hosts.index(host)]
        self._start_node_process(self.name_control(host), host, domain, control=True)

    def name_control(self, host: str) -> str:
        """Return the process name of the control host with this address."""
        return f"control-{DOMAINS[self.control_hosts.index(host)]}"

    def start_node(self, place: Place) -> None:
        """Start the node of a place."""
        self._start_node_process(self.name_node(place), place.host, place.domain)

    def name_node(self, place: Place) -> str:
        """Return the process name of the node of a place."""
        return f"node-{place.name}"

    def start_server(self, place: Place) -> None:
        """Start the server of a place."""
        self._start_process(
            place.name,
            "demo.server",
            f"http://{place.host}:{ADMIN_PORT}",
            f"--server={place.name}",
            f"--service={place.service}",
            f"--host={place.host}",
            f"--port={SERVER_PORT}",
            "--slots=6",
            f"--url={place.url}",
            f"--record={self.folder / 'runs.jsonl'}",
            f"--software={place.version}",
        )

    def get_pid(self, name: str) -> int:
        """Return the operating system's id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def reap(self, name: str) -> int | None:
        """Return the exit status of an ended process and stop tracking it.

        While the process runs, return None and keep tracking it.
        """
        status = self._processes[name].poll()
        if status is not None:
            del self._processes[name]
        return status

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        return name in self._processes and self._processes[name].poll() is None

    def stop(self) -> list[str]:
        """Stop every process; return those that did not exit with status 0."""
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

    def kill_all(self) -> None:
        """Kill all processes, including suspended ones."""
        for name in list(self._processes):
            self.kill(name)

    def list_exited(self) -> list[str]:
        """Return the names of processes that have exited and were not reaped."""
        return [name for name, p in self._processes.items() if p.poll() is not None]

    def _write_shared_files(self):
        token = self.folder / "operator.token"
        token.touch(mode=0o600)
        token.write_text(TOKEN)
        (self.folder / "tree.yaml").write_text(dump_yaml(self._tree))

    def _start_node_process(self, name, host, domain, control=False):
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
        self._start_process(name, "sapphireway", "run", str(path))

    def _start_process(self, name, module, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )


def _read_examples():
    tree = yaml.safe_load((EXAMPLES / "mertens.yaml").read_text())
    other = yaml.safe_load((EXAMPLES / "hielo-claro.yaml").read_text())
    tree["services"] |= other["services"]
    tree["domains"] = {domain: {} for domain in DOMAINS}
    return tree
