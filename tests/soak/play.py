"""Plays seeds of the soak: load, overlapping faults, recovery, promises."""

import asyncio
import random
import signal
import tempfile
from pathlib import Path

from demo._fleet import DOMAINS, HTTP_PORT, SERVER_PORT, Fleet, Place

from tests.processes.harness import (
    CONFIRM,
    LOOKUP,
    TREE,
    UPLOAD,
    exercise,
    make_network,
    read_settings,
    wait_until,
)
from tests.soak.faults import FAULTS
from tests.soak.promises import (
    find_cut_requests,
    find_evacuated_runs,
    find_lost_edits,
    find_old_reads,
    find_surplus_attempts,
)
from tests.soak.proxy import Proxy
from tests.soak.scene import Scene

CALLER_PORT = HTTP_PORT + 100
SERVER_PROXY_PORT = SERVER_PORT + 100
RATES_PER_S = {LOOKUP: 30.0, CONFIRM: 20.0, UPLOAD: 0.5}
FAULT_GAP_S = 0.8  # on average, so that several faults overlap
HEAL_TIMEOUT_S = 120.0
EXIT_CHECK_S = 0.1
RETRY_PERCENT = 20  # find_surplus_attempts knows it as a share
CLAIM_TTL_S = 30
FIRST_NETWORK = 150  # the fleet of tests/processes may run in the same process


def play_seeds(
    *, first: int = 1, count: int = 1, seconds: float = 20.0, places: int = 4
) -> int:
    """Play seeds one after the other; the exit status is 1 if a promise broke.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        How long faults are injected, for each seed.
    places : int
        Servers, each with a node; three control hosts come in addition.
    """
    # A run that is told to end still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    broken = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        problems, told = play(seed, seconds, places, folder)
        print(f"seed {seed}: {told}", flush=True)
        for problem in problems:
            print(f"  BROKEN {problem}", flush=True)
        if problems:
            broken.append(seed)
            print(f"  logs and records: {folder}", flush=True)
    print(f"{count} seeds, broken: {broken or 'none'}")
    return 1 if broken else 0


def play(seed: int, seconds: float, places: int, folder: Path) -> tuple[list[str], str]:
    """Play one seed; return what broke, and a line about the run."""
    fleet = make_soaked_fleet(folder, places)
    problems, told = [], []

    proxies = make_proxies(fleet)

    async def prepare(site):
        for proxy in proxies.values():
            await proxy.open()
        site.caller_port = CALLER_PORT

    async def body(site):
        starts = len(fleet.places)
        scene = Scene(site, random.Random(seed), proxies, entry_starts=starts)
        try:
            async with site.load(RATES_PER_S):
                await attack(scene, seconds)
            problems.extend(await judge(scene))
        finally:
            for proxy in proxies.values():
                await proxy.close()
        told.append(describe(scene))

    try:
        fleet.start()
        servers = [place.name for place in fleet.places]
        exercise(fleet, body, seed, servers, prepare)
    except AssertionError as error:
        problems.append(str(error))
    finally:
        fleet.kill_all()
    return problems, "".join(told)


def make_soaked_fleet(folder: Path, places: int) -> Fleet:
    """Return a fleet whose servers are reached through proxies."""
    network = make_network(FIRST_NETWORK)
    made = []
    for number in range(places):
        host = f"{network}.{10 + number}"
        domain = DOMAINS[number % len(DOMAINS)]
        url = f"http://{host}:{SERVER_PROXY_PORT}"
        made.append(Place(f"matching-{number}", host, domain, "matching", url))
    tree = TREE | {"claim_ttl_s": CLAIM_TTL_S, "retry_budget_percent": RETRY_PERCENT}
    return Fleet(folder, made, network, tree)


def make_proxies(fleet: Fleet) -> dict[str, Proxy]:
    """Return proxies before the entries and the servers."""
    entries = {
        f"entry of {place.name}": Proxy(place.host, CALLER_PORT, HTTP_PORT)
        for place in fleet.places
    }
    servers = {
        f"link to {place.name}": Proxy(place.host, SERVER_PROXY_PORT, SERVER_PORT)
        for place in fleet.places
    }
    return entries | servers


async def attack(scene: Scene, seconds: float) -> None:
    """Inject overlapping faults, and let all of them end."""
    faults = set()
    end_s = scene.read_clock() + seconds
    while scene.read_clock() < end_s:
        faults.add(asyncio.create_task(scene.rng.choice(FAULTS)(scene)))
        pause_s = scene.rng.expovariate(1.0 / FAULT_GAP_S)
        resume_s = scene.read_clock() + pause_s
        while scene.read_clock() < resume_s:
            scene.note_ended()
            await asyncio.sleep(min(EXIT_CHECK_S, pause_s))
    await asyncio.gather(*faults)


async def judge(scene: Scene) -> list[str]:
    """Let the fleet recover and return every broken promise."""
    site, fleet = scene.site, scene.fleet
    scene.note_ended()
    domains = {place.name: place.domain for place in fleet.places}
    for domain in sorted(set(domains.values())):
        await scene.repeat_order("domain", "in", domain)
    await site.heal(HEAL_TIMEOUT_S)
    version, tree = await wait_until(lambda: read_settings(site), "a current read")
    runs = site.read_runs()
    calls = sum(result.path == LOOKUP for result in site.results)
    entries = {name: place.host for name, place in scene.nodes.items()}
    return [
        *scene.ended,
        *find_cut_requests(site.results, runs, scene.harms, entries),
        *find_evacuated_runs(runs, scene.outages, domains, scene.harms),
        *find_old_reads(scene.reads, scene.edits),
        *find_lost_edits(version, tree.get("trace_percent"), scene.edits),
        *find_surplus_attempts(runs, calls, scene.entry_starts),
    ]


def describe(scene: Scene) -> str:
    """Return one line on what was done and what callers were told."""
    outcomes = [result.outcome for result in scene.site.results]
    counts = {name: outcomes.count(name) for name in sorted(set(outcomes))}
    return (
        f"{len(scene.harms)} faults, {len(scene.edits)} edits, "
        f"{len(scene.outages)} evacuations, outcomes {counts}"
    )
