"""Runs the soak test: load, overlapping faults, recovery, checks of the guarantees."""

import asyncio
import dataclasses
import random
import signal
import tempfile
from collections.abc import Sequence
from pathlib import Path

from demo._fleet import DOMAINS, HTTP_PORT, SERVER_PORT, Place

from tests.processes.harness import (
    CONFIRM,
    LOOKUP,
    TREE,
    UPLOAD,
    RecordedFleet,
    choose_network_prefix,
    keep_fleet_evidence,
    read_settings,
    run_on_fleet,
    wait_until,
)
from tests.soak.faults import FAULTS, REPORT_FAULTS, Fault
from tests.soak.guarantees import (
    find_cut_requests,
    find_excess_retries,
    find_lost_edits,
    find_runs_above_limits,
    find_runs_after_departures,
    find_runs_in_evacuated_domains,
    find_stale_reads,
)
from tests.soak.injector import FaultInjector
from tests.soak.proxy import Proxy

CALLER_PORT = HTTP_PORT + 100
SERVER_PROXY_PORT = SERVER_PORT + 100
RATES_PER_S = {LOOKUP: 30.0, CONFIRM: 20.0, UPLOAD: 0.5}
FAULT_INTERVAL_MEAN_S = 0.8  # short enough that several faults overlap
REPORT_INTERVAL_MEAN_S = 6.0  # each of these keeps a server for seconds
HEAL_TIMEOUT_S = 120.0
EXIT_POLL_S = 0.1
RETRY_PERCENT = 20  # must be equal to guarantees.RETRY_SHARE
CLAIM_TTL_S = 30
SECOND_OCTET_BASE = 150  # apart from the fleet of tests/processes in the same process


def run_seeds(
    *, first: int = 1, count: int = 1, seconds: float = 20.0, places: int = 4
) -> int:
    """Run seeds one after the other; the exit status is 1 if a guarantee is violated.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        For how long faults are injected with each seed.
    places : int
        Number of servers, each with a node; there are three control hosts besides.
    """
    # SIGTERM must not leave processes behind: it raises KeyboardInterrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed_seeds = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, summary = run_seed(seed, seconds, places, folder)
        print(f"seed {seed}: {summary}", flush=True)
        for violation in violations:
            print(f"  VIOLATION {violation}", flush=True)
        if violations:
            failed_seeds.append(seed)
            print(f"  logs and records: {folder}", flush=True)
    print(f"{count} seeds, with violations: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


def run_seed(
    seed: int, seconds: float, places: int, folder: Path
) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary of the run."""
    fleet = make_proxied_fleet(folder, places)
    violations, summaries = [], []
    name = f"soak-{seed}"
    proxies = make_proxies(fleet)

    async def prepare(harness):
        for proxy in proxies.values():
            await proxy.open()
        harness.caller_port = CALLER_PORT

    async def body(harness):
        starts = len(fleet.places)
        injector = FaultInjector(
            harness, random.Random(seed), proxies, node_starts=starts
        )
        try:
            async with harness.load(RATES_PER_S):
                # Drawn apart, so that a seed keeps the other faults that it had.
                reports = dataclasses.replace(
                    injector, rng=random.Random(f"reports {seed}")
                )
                await asyncio.gather(
                    inject_faults(injector, seconds, FAULTS, FAULT_INTERVAL_MEAN_S),
                    inject_faults(
                        reports, seconds, REPORT_FAULTS, REPORT_INTERVAL_MEAN_S
                    ),
                )
            violations.extend(await find_violations(injector))
        finally:
            record_faults(injector)
            for proxy in proxies.values():
                await proxy.close()
        summaries.append(summarize(injector))
        if violations:
            kept = keep_fleet_evidence(fleet, harness.results, name)
            violations.append(f"evidence: {kept}")

    try:
        fleet.start()
        servers = [place.name for place in fleet.places]
        run_on_fleet(fleet, body, seed, servers, prepare, name)
    except AssertionError as error:
        violations.append(str(error))
    finally:
        fleet.kill_all()
    return violations, "".join(summaries)


def make_proxied_fleet(folder: Path, places: int) -> RecordedFleet:
    """Return a fleet whose nodes reach their servers through proxies."""
    network = choose_network_prefix(SECOND_OCTET_BASE)
    fleet_places = []
    for number in range(places):
        host = f"{network}.{10 + number}"
        domain = DOMAINS[number % len(DOMAINS)]
        url = f"http://{host}:{SERVER_PROXY_PORT}"
        fleet_places.append(Place(f"matching-{number}", host, domain, "matching", url))
    tree = TREE | {"claim_ttl_s": CLAIM_TTL_S, "retry_budget_percent": RETRY_PERCENT}
    return RecordedFleet(folder, fleet_places, network, tree)


def make_proxies(fleet: RecordedFleet) -> dict[str, Proxy]:
    """Return proxies in front of the entry nodes and the servers."""
    entries = {
        f"entry of {place.name}": Proxy(place.host, CALLER_PORT, HTTP_PORT)
        for place in fleet.places
    }
    servers = {
        f"link to {place.name}": Proxy(place.host, SERVER_PROXY_PORT, SERVER_PORT)
        for place in fleet.places
    }
    return entries | servers


async def inject_faults(
    injector: FaultInjector,
    seconds: float,
    faults: Sequence[Fault],
    interval_mean_s: float,
) -> None:
    """Inject overlapping faults and wait until all of them have ended."""
    tasks = set()
    end_s = injector.read_clock() + seconds
    while injector.read_clock() < end_s:
        tasks.add(asyncio.create_task(injector.rng.choice(faults)(injector)))
        pause_s = injector.rng.expovariate(1.0 / interval_mean_s)
        resume_s = injector.read_clock() + pause_s
        while injector.read_clock() < resume_s:
            injector.record_unexpected_exits()
            await asyncio.sleep(min(EXIT_POLL_S, pause_s))
    await asyncio.gather(*tasks)


async def find_violations(injector: FaultInjector) -> list[str]:
    """Wait until the fleet has recovered; return all violations of guarantees."""
    harness, fleet = injector.harness, injector.fleet
    injector.record_unexpected_exits()
    domains = {place.name: place.domain for place in fleet.places}
    for domain in sorted(set(domains.values())):
        await injector.retry_sapphirectl("domain", "in", domain)
    await harness.heal(HEAL_TIMEOUT_S)
    version, tree = await wait_until(
        lambda: read_settings(harness), "current read of the settings"
    )
    runs = harness.read_runs()
    calls = sum(result.path == LOOKUP for result in harness.results)
    entries = {name: place.host for name, place in injector.nodes.items()}
    nodes = {place.name: name for name, place in injector.nodes.items()}
    return [
        *injector.unexpected_exits,
        *find_cut_requests(harness.results, runs, injector.faults, entries),
        *find_runs_in_evacuated_domains(
            runs, injector.evacuations, domains, injector.faults
        ),
        *find_runs_above_limits(runs, injector.limits, injector.faults, nodes),
        *find_runs_after_departures(runs, injector.departures, injector.faults, nodes),
        *find_stale_reads(injector.reads, injector.edits),
        *find_lost_edits(version, tree.get("trace_percent"), injector.edits),
        *find_excess_retries(runs, calls, injector.node_starts),
    ]


def record_faults(injector: FaultInjector) -> None:
    """Add the faults that were in effect to the timeline of the fleet."""
    for fault in injector.faults:
        fields = {"kind": fault.kind, "target": fault.target}
        injector.fleet.timeline.record("fault_start", fault.start_s, **fields)
        injector.fleet.timeline.record("fault_end", fault.end_s, **fields)


def summarize(injector: FaultInjector) -> str:
    """Return one line with the numbers of faults and outcomes."""
    outcomes = [result.outcome for result in injector.harness.results]
    counts = {name: outcomes.count(name) for name in sorted(set(outcomes))}
    return (
        f"{len(injector.faults)} faults, {len(injector.edits)} edits, "
        f"{len(injector.evacuations)} evacuations, {len(injector.limits)} limits, "
        f"{len(injector.departures)} departures, outcomes {counts}"
    )
