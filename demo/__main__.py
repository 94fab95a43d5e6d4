"""Command line of the demonstration: ``make demo``."""

import asyncio
import random
import shutil
import subprocess
import sys
from pathlib import Path

import defopt
import tornado.httpclient

from demo._fleet import ADMIN_PORT, HTTP_PORT, Fleet
from demo._kinds import KINDS
from demo._load import Callers
from demo._report import (
    count_duplicates,
    list_refusals,
    list_violations,
    read_runs,
    render_table,
)

START_TIMEOUT_S = 60.0
OUT_AT_S, IN_AT_S, KILL_AT_S, RESTART_AT_S = 5.0, 10.0, 13.0, 16.0
OUT_DOMAIN = "bxl-b"


async def wait_until_served(fleet: Fleet) -> None:
    """Wait until every entry node answers the idempotent kinds."""
    client = tornado.httpclient.AsyncHTTPClient()
    async with asyncio.timeout(START_TIMEOUT_S):
        for place in fleet.places:
            for kind in KINDS:
                if kind.idempotent:
                    url = f"http://{place.host}:{HTTP_PORT}{kind.path}"
                    await _wait_for(client, url)


async def _wait_for(client, url):
    while True:
        try:
            await client.fetch(url)
            return
        except (tornado.httpclient.HTTPError, OSError):
            await asyncio.sleep(0.2)


async def operate(fleet: Fleet, messages: list[str]) -> None:
    """Take a domain out and back in, then kill a server and restart it."""
    await asyncio.sleep(OUT_AT_S)
    messages.append(await run_command(fleet, "domain", "out", OUT_DOMAIN))
    await asyncio.sleep(IN_AT_S - OUT_AT_S)
    messages.append(await run_command(fleet, "domain", "in", OUT_DOMAIN))
    await asyncio.sleep(KILL_AT_S - IN_AT_S)
    killed_place = fleet.places[0]
    fleet.kill(killed_place.name)
    messages.append(f"killed {killed_place.name}")
    await asyncio.sleep(RESTART_AT_S - KILL_AT_S)
    fleet.start_server(killed_place)
    messages.append(f"restarted {killed_place.name}")


async def run_command(fleet: Fleet, *arguments: str) -> str:
    """Run sapphirectl and return the command and its output in one line."""
    nodes = [f"--node={address}" for address in fleet.admin_addresses]
    token = fleet.folder / "operator.token"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sapphirectl",
        *arguments,
        *nodes,
        f"--token-file={token}",
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    line = " ".join(output.decode().split())
    return f"sapphirectl {' '.join(arguments)}: {line} (exit {process.returncode})"


async def read_probe_ratio(fleet: Fleet) -> str:
    """Return the number of probes per call, from the nodes' metrics, in one line."""
    client = tornado.httpclient.AsyncHTTPClient()
    probes = calls = 0.0
    for place in fleet.places:
        url = f"http://{place.host}:{ADMIN_PORT}/metrics"
        answer = await client.fetch(url, raise_error=False)
        for line in answer.body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            if 'event="ProbeSent"' in name:
                probes += float(value)
            if 'event="CallEnded"' in name:
                calls += float(value)
    share = probes / calls if calls else 0.0
    return f"probes: {probes:.0f} for {calls:.0f} calls ({share:.3f} per call)"


async def demonstrate(duration_s: float, seed: int, folder: Path) -> int:
    """Run the demonstration and return its exit status."""
    folder = folder.resolve()
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    fleet = Fleet(folder)
    callers = Callers(KINDS, fleet.places, random.Random(seed))
    messages = []
    try:
        fleet.start()
        print(f"started {len(fleet.places)} servers, their nodes, 3 control hosts")
        await wait_until_served(fleet)
        print(f"sending requests for {duration_s:g} s", flush=True)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(duration_s))
            group.create_task(operate(fleet, messages))
        probe_ratio = await read_probe_ratio(fleet)
        crashed = fleet.list_exited()
    finally:
        callers.close()
        failed = fleet.stop()
    runs = read_runs(folder / "runs.jsonl")
    duplicates = count_duplicates(runs)
    print(*messages, sep="\n")
    print(render_table(callers.tallies, duplicates))
    print(*list_refusals(callers.tallies), probe_ratio, sep="\n")
    violations = list_violations(callers.tallies, runs)
    violations += [f"{name} exited unexpectedly" for name in crashed]
    violations += [f"{name} did not stop gracefully" for name in failed]
    print(*violations or ["every guarantee held"], sep="\n")
    return 1 if violations else 0


def run(
    *, seconds: float = 20.0, seed: int = 1, folder: Path = Path("run/demo")
) -> int:
    """Run the system under load while a domain is out and a server is killed.

    Parameters
    ----------
    seconds : float
        How long callers send requests.
    seed : int
    folder : Path
        Receives settings, logs and records; previous contents are deleted.

    Returns
    -------
    int
        0 if every guarantee held, 1 otherwise.
    """
    return asyncio.run(demonstrate(seconds, seed, folder))


if __name__ == "__main__":
    sys.exit(defopt.run(run))
