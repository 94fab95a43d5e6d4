"""Cost of start and operation: ``python -m benchmarks.cost [REVISION] [PART ...]``.

Compares the working tree with a revision, HEAD by default, in one run: starts and calls
alternate between both, idle processes are measured at the same time. The parts are
``start``, ``calls`` and ``idle``; each row ends with the ratio to the revision.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import tornado.httpserver
import tornado.web

from benchmarks import renewals
from sapphireway_state import dump_yaml
from sapphireway_transport import CurlServerClient, Responded, ServerRequest

ROOT = Path(__file__).parent.parent
PARTS = ("start", "calls", "idle")
COPIED = ("packages", "platform")
NODE_PORT, HTTP_PORT, ADMIN_PORT, SERVER_PORT = 7100, 8080, 9090, 9001
CONTROL_HOSTS = 3
SERVICE = "shop"
TREE = {
    "health_interval_ms": 50,
    "domains": {f"domain-{number}": {} for number in range(CONTROL_HOSTS)},
    "services": {
        SERVICE: {
            "match": {"path_prefixes": ["/"]},
            "kinds": {"lookup": {"match": {"methods": ["GET"]}, "idempotent": True}},
        }
    },
}
WARM_STARTS, FRESH_STARTS = 12, 3
CALLS, WARM_UP_CALLS, CALM_CALLS = 600, 100, 60
CALM_INTERVAL_S = 0.15  # some 3 calls per second and node
PEERS = (10, 72, 300)
IDLE_S = 10.0
SETTLE_S = 8.0
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
TIMEOUT_S = 5.0
ANSWER_MAX_BYTES = 1024 * 1024
NS_PER_S = 1e9
MS_PER_S = 1000
KB_PER_MB = 1024


class _Process:
    """A node of one source tree."""

    __slots__ = ("_process",)

    def __init__(self, root, settings, server_url):
        command = [sys.executable, str(Path(__file__).with_name("_node_process.py"))]
        command += [str(root), json.dumps(settings), SERVICE, server_url]
        environment = dict(os.environ)
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        self._process = subprocess.Popen(
            command, stdout=subprocess.PIPE, env=environment
        )

    def wait_for_event(self, name):
        """Read the log up to the first event of that name."""
        for line in self._process.stdout:
            if json.loads(line)["event"] == name:
                return
        raise RuntimeError(f"a node ended before it logged {name}")

    def read_cpu_s(self):
        tasks = Path(f"/proc/{self._process.pid}/task").iterdir()
        times = [(task / "schedstat").read_text().split()[0] for task in tasks]
        return sum(map(int, times)) / NS_PER_S

    def read_memory_mb(self):
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / KB_PER_MB

    def drain_log(self):
        """Discard the log from now on, so that the pipe never fills."""
        os.set_blocking(self._process.stdout.fileno(), False)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._process.stdout, self._process.stdout.read)

    def stop(self):
        if not self._process.stdout.closed:
            with contextlib.suppress(RuntimeError):
                asyncio.get_running_loop().remove_reader(self._process.stdout)
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)
        self._process.stdout.close()


class _Cluster:
    """Control hosts and two nodes of one source tree, with their servers."""

    __slots__ = ("_controls", "_folder", "_network", "checks", "nodes", "root")

    def __init__(self, root, network, folder):
        self._folder = folder
        self._network = network
        self.checks = 0
        self.nodes = []
        self.root = root
        (folder / "tree.yaml").write_text(dump_yaml(TREE))
        self._controls = []

    @property
    def control_addresses(self):
        return [f"{self._network}.{n + 1}:{NODE_PORT}" for n in range(CONTROL_HOSTS)]

    @property
    def hosts(self):
        return [f"{self._network}.{number}" for number in (11, 12)]

    def start_controls(self):
        for number in range(CONTROL_HOSTS):
            tree = str(self._folder / "tree.yaml")
            self._controls.append(
                self.start_node(
                    number + 1, control=True, bootstrap=True, initial_tree=tree
                )
            )
        for process in self._controls:
            process.wait_for_event("settings_in_force")

    def start_node(self, number, server_url="", **settings):
        host = f"{self._network}.{number}"
        settings = {
            "address": f"{host}:{NODE_PORT}",
            "http_address": f"{host}:{HTTP_PORT}",
            "admin_address": f"{host}:{ADMIN_PORT}",
            "domain": f"domain-{number % CONTROL_HOSTS}",
            "region": "region-0",
            "data_folder": str(self._folder / str(number)),
            "control_hosts": self.control_addresses,
            **settings,
        }
        return _Process(self.root, settings, server_url)

    def start_with_servers(self):
        """Start everything in the running event loop."""
        self.start_controls()
        for host in self.hosts:
            application = tornado.web.Application(
                [(".*", _ServerHandler, {"cluster": self})],
                log_function=lambda handler: None,
            )
            server = tornado.httpserver.HTTPServer(application)
            server.listen(SERVER_PORT, host)
            number = int(host.rpartition(".")[2])
            url = f"http://{host}:{SERVER_PORT}"
            self.nodes.append(self.start_node(number, url))
        for process in self.nodes:
            process.wait_for_event("settings_in_force")
        for process in (*self._controls, *self.nodes):
            process.drain_log()

    def read_cpu_s(self):
        return sum(node.read_cpu_s() for node in self.nodes)

    def stop(self):
        for process in (*self.nodes, *self._controls):
            process.stop()


class _ServerHandler(tornado.web.RequestHandler):
    """A server that answers immediately and reports its slowness."""

    SUPPORTED_METHODS = ("GET", "POST")

    def initialize(self, cluster):
        self._cluster = cluster

    def get(self):
        if self.request.path == "/health":
            self._cluster.checks += 1
        self.set_header("Slowness", "1.0")
        self.finish(b"x" * 200)

    post = get


@contextlib.contextmanager
def _check_out(revision):
    """Yield the roots of copies of the revision and of the working tree."""
    with tempfile.TemporaryDirectory() as folder:
        before, after = Path(folder) / "before", Path(folder) / "after"
        git = ["git", "-C", str(ROOT), "worktree"]
        add = [*git, "add", "--quiet", "--detach", str(before), revision]
        subprocess.run(add, check=True)
        try:
            for name in COPIED:
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(ROOT / name, after / name, ignore=ignored)
            for root in (before, after):
                _compile(root)
            yield before, after
        finally:
            subprocess.run([*git, "remove", "--force", str(before)], check=True)


def _compile(root):
    # The flags of the build command in deploy/system.toml.
    build = (Path(root) / "deploy/system.toml", ROOT / "deploy/system.toml")
    text = next(path for path in build if path.exists()).read_text()
    mode = text.partition("--invalidation-mode ")[2].split()[0]
    command = [sys.executable, "-m", "compileall", "-q", "--invalidation-mode", mode]
    folders = [*root.glob("packages/*/src"), root / "platform"]
    subprocess.run([*command, *map(str, folders)], check=True)


def _remove_compiled(root):
    for folder in root.rglob("__pycache__"):
        shutil.rmtree(folder)


def _measure_start(clusters):
    for cluster in clusters:
        cluster.start_controls()
    for title, rounds, prepare in (
        ("start, compiled", WARM_STARTS, lambda root: None),
        ("start, not compiled", FRESH_STARTS, _remove_compiled),
    ):
        samples = [[], []]
        for number in range(rounds):
            for index in (0, 1) if number % 2 else (1, 0):
                prepare(clusters[index].root)
                samples[index].append(_start_once(clusters[index]))
        rows = [
            [statistics.median(column) for column in zip(*figures, strict=True)]
            for figures in samples
        ]
        for column, figure in enumerate(("CPU ms", "wall ms", "memory MB")):
            _print_row(f"{title}: {figure}", rows[0][column], rows[1][column])
    for cluster in clusters:
        cluster.stop()
        _compile(cluster.root)


def _start_once(cluster):
    started_s = time.monotonic()
    process = cluster.start_node(20)
    try:
        process.wait_for_event("settings_in_force")
        wall_s = time.monotonic() - started_s
        cpu_s = process.read_cpu_s()
        return cpu_s * MS_PER_S, wall_s * MS_PER_S, process.read_memory_mb()
    finally:
        process.stop()


async def _measure_calls(clusters):
    client = CurlServerClient(400)
    for keyed in (False, True):
        await _send_alternately(clusters, client, WARM_UP_CALLS, keyed, "w")
        checks = [cluster.checks for cluster in clusters]
        cpu_s = await _send_alternately(clusters, client, CALLS, keyed, "m")
        checks = [c.checks - n for c, n in zip(clusters, checks, strict=True)]
        name = "keyed call" if keyed else "lookup"
        _print_row(f"{name}: CPU ms", *(s / CALLS * MS_PER_S for s in cpu_s))
        _print_row(f"{name}: health checks", *(n / CALLS for n in checks))
    checks = [cluster.checks for cluster in clusters]
    cpu_s = await _send_alternately(
        clusters, client, CALM_CALLS, False, "c", CALM_INTERVAL_S
    )
    checks = [c.checks - n for c, n in zip(clusters, checks, strict=True)]
    _print_row("calm, per call: health checks", *(n / CALM_CALLS for n in checks))
    _print_row("calm, per call: CPU ms", *(s / CALM_CALLS * MS_PER_S for s in cpu_s))
    client.close()


async def _send_alternately(clusters, client, count, keyed, run, interval_s=0.0):
    """Return the CPU seconds that the nodes of each cluster used."""
    used_s = [0.0, 0.0]
    last_s = [cluster.read_cpu_s() for cluster in clusters]
    for number in range(count):
        for cluster in clusters:
            key = f"{run}-{number}" if keyed else None
            await _send(client, cluster.hosts[number % 2], key)
        await asyncio.sleep(interval_s)
    now_s = [cluster.read_cpu_s() for cluster in clusters]
    for index in range(2):
        used_s[index] = now_s[index] - last_s[index]
    return used_s


async def _send(client, host, key):
    headers = () if key is None else (("Idempotency-Key", key),)
    method, body = ("GET", b"") if key is None else ("POST", b"order")
    url = f"http://{host}:{HTTP_PORT}/offers"
    request = ServerRequest(url, method, headers, body, TIMEOUT_S, ANSWER_MAX_BYTES)
    result = await client.send(request)
    if not isinstance(result, Responded) or result.status != 200:
        raise RuntimeError(f"a call failed: {result}")


async def _wait_until_served(clusters):
    client = CurlServerClient(400)
    async with asyncio.timeout(READY_TIMEOUT_S):
        for cluster in clusters:
            for host in cluster.hosts:
                for key in (None, f"first-{host}"):
                    while not await _is_served(client, host, key):
                        await asyncio.sleep(0.2)
    client.close()


async def _is_served(client, host, key):
    try:
        await _send(client, host, key)
    except RuntimeError:
        return False
    return True


async def _measure_idle(clusters):
    context = renewals.SharedContext()
    rng = random.Random(1)
    simulated = []
    for count in PEERS:
        while len(simulated) < count * len(clusters):
            number, index = divmod(len(simulated), len(clusters))
            addresses = clusters[index].control_addresses
            # The offset gives each cluster hosts of its own.
            offset = index * renewals.NODES_PER_HOST * 10
            node = renewals.start_node(context, number + offset, count, addresses, rng)
            simulated.append(node)
        await asyncio.sleep(SETTLE_S)
        before_s = [cluster.read_cpu_s() for cluster in clusters]
        checks = [cluster.checks for cluster in clusters]
        await asyncio.sleep(IDLE_S)
        used_s = [c.read_cpu_s() - s for c, s in zip(clusters, before_s, strict=True)]
        checks = [c.checks - n for c, n in zip(clusters, checks, strict=True)]
        seconds = IDLE_S * 2  # two nodes in each cluster
        name = f"idle, {count} peers"
        _print_row(f"{name}: CPU ms/s", *(s / seconds * MS_PER_S for s in used_s))
        _print_row(f"{name}: health checks/s", *(n / seconds for n in checks))
    for peers, task in simulated:
        task.cancel()
        peers.close()
    context.close()


def _print_row(name, before, after):
    ratio = after / before if before else float("nan")
    print(f"{name:<40}{before:>10.2f}{after:>10.2f}{ratio:>8.2f}", flush=True)


async def _measure_running(clusters, parts):
    try:
        for cluster in clusters:
            cluster.start_with_servers()
        await _wait_until_served(clusters)
        if "calls" in parts:
            await _measure_calls(clusters)
        if "idle" in parts:
            await _measure_idle(clusters)
    finally:
        for cluster in clusters:
            cluster.stop()


def main(arguments: list[str]) -> None:
    """Print the figures of the revision, of the working tree, and the ratios."""
    # Otherwise the processes and the temporary worktree would stay behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    revision, *parts = arguments or ["HEAD"]
    parts = parts or PARTS
    print(f"{'':<40}{revision[:9]:>10}{'this tree':>10}{'ratio':>8}", flush=True)
    with _check_out(revision) as roots, tempfile.TemporaryDirectory() as folder:

        def make_clusters(name):
            for index, root in enumerate(roots):
                data = Path(folder) / name / str(index)
                data.mkdir(parents=True)
                yield _Cluster(root, f"127.0.{81 + index}", data)

        if "start" in parts:
            _measure_start(list(make_clusters("start")))
        if {"calls", "idle"} & set(parts):
            asyncio.run(_measure_running(list(make_clusters("run")), parts))


if __name__ == "__main__":
    main(sys.argv[1:])
