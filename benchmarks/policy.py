"""Routing compared with baselines on the paused clock, paired by seed."""

import asyncio

import defopt

from benchmarks._fleet import (
    BASE_POLICY,
    CAPACITY_PER_S,
    SERVERS,
    Fleet,
    Scenario,
    make_baseline,
)
from benchmarks._server import ServerFaults, SlowWindow, find_percentile
from sapphireway_coordination import (
    Dispatcher,
    choose_least_in_flight,
    choose_power_of_two,
    choose_random,
    make_choose_round_robin,
)
from sapphireway_state import Policy
from sapphireway_transport.memory import run_paused

DURATION_S = 6.0
SURGE_START_S = 1.0
SURGE_END_S = 3.0
FAULT_START_S = 2.0
FAULT_END_S = 3.0
OUT_END_S = 4.0
ISOLATION_END_S = 5.0
BIN_S = 0.1


def draw_windows(rng, duration_s, span_s, gap_s, factor):
    """Return slow windows of random lengths with random gaps."""
    windows, now_s = [], 0.5
    while now_s < duration_s:
        now_s += rng.uniform(*gap_s)
        end_s = now_s + rng.uniform(*span_s)
        windows.append(SlowWindow(now_s, end_s, factor))
        now_s = end_s
    return windows


def slow_one(rng):
    """Slow down one server at a time tenfold for 50 to 500 ms."""
    faults = [[] for _ in range(SERVERS)]
    for window in draw_windows(rng, DURATION_S, (0.05, 0.5), (0.1, 0.5), 10.0):
        faults[rng.randrange(SERVERS)].append(window)
    return [ServerFaults(slow=tuple(windows)) for windows in faults]


def slow_one_rarely(rng):
    """Slow down one server tenfold for 50 to 500 ms, with 1 to 2 s between."""
    faults = [[] for _ in range(SERVERS)]
    for window in draw_windows(rng, DURATION_S, (0.05, 0.5), (1.0, 2.0), 10.0):
        faults[rng.randrange(SERVERS)].append(window)
    return [ServerFaults(slow=tuple(windows)) for windows in faults]


def slow_two(rng):
    """Slow down two servers threefold for 0.5 to 1.5 s, repeatedly."""
    faults = [ServerFaults() for _ in range(SERVERS)]
    for index in (0, 1):
        windows = draw_windows(rng, DURATION_S, (0.5, 1.5), (0.3, 1.0), 3.0)
        faults[index] = ServerFaults(slow=tuple(windows))
    return faults


def delay_reports(rng):
    """Add a report delay of 10 to 500 ms to `slow_one`."""
    faults = slow_one(rng)
    for server_faults in faults:
        server_faults.report_delay_s = rng.uniform(0.01, 0.5)
    return faults


def fail_fast_one(rng):
    """Make one server answer 500 immediately for 1 to 2 s, repeatedly."""
    faults = [ServerFaults() for _ in range(SERVERS)]
    windows = draw_windows(rng, DURATION_S, (1.0, 2.0), (0.5, 1.0), 1.0)
    faults[2] = ServerFaults(failing=tuple(windows))
    return faults


def stall_all(rng):
    """Slow down all servers tenfold for one second."""
    stall = SlowWindow(FAULT_START_S, FAULT_END_S, 10.0)
    return [ServerFaults(slow=(stall,)) for _ in range(SERVERS)]


def fail_all(rng):
    """Make all servers answer 500 immediately for one second."""
    outage = SlowWindow(FAULT_START_S, FAULT_END_S, 1.0)
    return [ServerFaults(failing=(outage,)) for _ in range(SERVERS)]


async def restart_cold(fleet):
    """Make one server after another cold, every 1.5 s, under its old incarnation."""
    for name in ("s0", "s1", "s2"):
        await asyncio.sleep(1.5)
        fleet.servers[name].start_cold()


async def take_domain_out_and_back(fleet):
    """Take a domain out as an operator does, and return it with cold servers."""
    await asyncio.sleep(FAULT_START_S)
    fleet.take_domain_out("bxl-a")
    await asyncio.sleep(0.3)
    fleet.publish_out("bxl-a")
    await asyncio.sleep(OUT_END_S - FAULT_START_S - 0.3)
    fleet.return_domain("bxl-a")


async def isolate_and_return_domain(fleet):
    """Isolate a domain, remove its members after 2 s, and return it cold."""
    await asyncio.sleep(FAULT_START_S)
    fleet.isolate_domain("bxl-b")
    await asyncio.sleep(2.0)
    fleet.remove_members("bxl-b")
    await asyncio.sleep(ISOLATION_END_S - FAULT_START_S - 2.0)
    fleet.return_domain("bxl-b")


def get_surge_load(now_s):
    """Return a load of twice the capacity from 1 s to 3 s, and 0.6 otherwise."""
    return 2.0 if SURGE_START_S <= now_s < SURGE_END_S else 0.6


def get_moderate_load(now_s):
    """Return a load that the other domains can serve without the missing one."""
    return 0.4


SCENARIOS = {
    x.name: x
    for x in (
        Scenario("calm", DURATION_S),
        Scenario("slow", DURATION_S, faults=slow_one),
        Scenario("slow_rare", DURATION_S, faults=slow_one_rarely),
        Scenario("noisy", DURATION_S, lambda now_s: 0.5, faults=slow_two),
        Scenario("stale", DURATION_S, faults=delay_reports),
        Scenario("failing", DURATION_S, faults=fail_fast_one),
        Scenario("cold", DURATION_S, change_fleet=restart_cold),
        Scenario("overload", DURATION_S, get_surge_load, events={"end": SURGE_END_S}),
        Scenario(
            "stall",
            DURATION_S,
            faults=stall_all,
            events={"end": FAULT_END_S},
        ),
        Scenario(
            "outage",
            DURATION_S,
            faults=fail_all,
            events={"end": FAULT_END_S},
        ),
        Scenario(
            "out",
            DURATION_S,
            get_moderate_load,
            change_fleet=take_domain_out_and_back,
            events={"out": FAULT_START_S, "return": OUT_END_S},
        ),
        Scenario(
            "lost",
            DURATION_S,
            get_moderate_load,
            change_fleet=isolate_and_return_domain,
            events={"loss": FAULT_START_S, "return": ISOLATION_END_S},
        ),
    )
}

BASELINES = {
    "random": make_baseline(lambda: choose_random),
    "round_robin": make_baseline(make_choose_round_robin),
    "least_in_flight": make_baseline(lambda: choose_least_in_flight),
    "two_choices": make_baseline(lambda: choose_power_of_two),
}


VARIANTS = {
    "sapphireway": Policy(deadline_ms=1000),
    "no_hedges": Policy(deadline_ms=1000, hedge_percentile=0.0),
    "no_probes": Policy(deadline_ms=1000, probe_rate_per_s=0.0),
}


ORACLE = "oracle"


def measure(name, variant, seeds):
    """Run one variant in one scenario over `seeds` and print a row."""
    scenario = SCENARIOS[name]
    calls, probes, messages, retries = [], 0, 0, 0
    for seed in seeds:
        fleet_result = run_paused(run_fleet(seed, scenario, variant))
        calls += fleet_result.calls
        probes += fleet_result.probes
        messages += fleet_result.messages
        retries += fleet_result.retries
    print_row(scenario, variant, calls, probes, messages, retries)


async def run_fleet(seed, scenario, variant):
    """Run the fleet of one variant with one seed."""

    def choose_by_oracle(candidates, call, rng, now_s):
        """Choose with knowledge of the servers that are slow at this moment."""
        fast = [x for x in candidates if not fleet.is_slow(x.member.server, now_s)]
        return choose_least_in_flight(fast or candidates, call, rng, now_s)

    if variant == ORACLE:
        fleet = Fleet(
            seed, scenario, make_baseline(lambda: choose_by_oracle), BASE_POLICY
        )
    elif variant in BASELINES:
        fleet = Fleet(seed, scenario, BASELINES[variant], BASE_POLICY)
    else:
        fleet = Fleet(seed, scenario, Dispatcher, VARIANTS[variant])
    return await fleet.run()


def print_header():
    """Print the names of the columns."""
    print("times in ms; good: answered in time; msg, probe: per call")
    columns = [f"{'scenario':9}", f"{'variant':15}"]
    for kind in ("read", "booking"):
        columns += [f"{kind} p50".rjust(11), "p99".rjust(7), "p99.9".rjust(7)]
        columns.append("good".rjust(7))
    columns += ["  msg", " probe", "repeats", "recovery"]
    print(" ".join(columns), flush=True)


def print_row(scenario, variant, calls, probes, messages, retries):
    """Print the figures of one variant in one scenario."""
    row = [f"{scenario.name:9}", f"{variant:15}"]
    for kind in ("read", "booking"):
        times = sorted(x.latency_s for x in calls if x.kind == kind)
        figures = [find_percentile(times, p) * 1000 for p in (50, 99, 99.9)]
        row += [f"{figures[0]:11.1f}", f"{figures[1]:7.1f}", f"{figures[2]:7.1f}"]
        good = sum(x.good for x in calls if x.kind == kind)
        row.append(f"{100 * good / len(times):6.2f}%")
    count = len(calls)
    row.append(f"{messages / count:5.2f}")
    row.append(f"{probes / count:6.3f}")
    row.append(f"{100 * retries / count:6.2f}%")
    starts_s = list(scenario.events.values())
    for index, (name, start_s) in enumerate(scenario.events.items()):
        end_s = [*starts_s, DURATION_S][index + 1]
        row.append(f" {name} {find_recovery(calls, start_s, end_s):.1f}s")
    print(" ".join(row), flush=True)
    if scenario.name == "overload":
        print_goodput(calls)


def print_goodput(calls):
    """Print goodput and the latency of refusals during the overload."""
    during = [x for x in calls if SURGE_START_S <= x.arrived_s < SURGE_END_S]
    good = sum(x.good for x in during)
    estimated_seeds = len(during) / (2 * CAPACITY_PER_S * (SURGE_END_S - SURGE_START_S))
    capacity_calls = estimated_seeds * CAPACITY_PER_S * (SURGE_END_S - SURGE_START_S)
    good_weight_share = sum(x.weight for x in during if x.good) / sum(
        x.weight for x in during
    )
    refused = sorted(x.elapsed_s for x in during if x.outcome == "NotRun")
    line = f"{'':9} goodput {100 * good / capacity_calls:.1f}% of the capacity, "
    line += f"{100 * good_weight_share:.1f}% of the weight offered"
    if refused:
        p50_ms, p99_ms = (find_percentile(refused, p) * 1000 for p in (50, 99))
        line += f"; refused after p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms"
    print(line, flush=True)


def find_recovery(calls, event_s, end_s):
    """Return for how long after an event calls were worse than before all events.

    A bin of `BIN_S` is worse if under 99% of its calls were answered in time, or if
    their 95th percentile latency is over twice that before the first event.
    """
    before = sorted(x.latency_s for x in calls if 0.5 <= x.arrived_s < 1.0)
    limit_s = 2.0 * find_percentile(before, 95)
    bins = {}
    for call in calls:
        if event_s <= call.arrived_s < end_s:
            bins.setdefault(int((call.arrived_s - event_s) / BIN_S), []).append(call)
    worse = [number for number, x in bins.items() if is_worse(x, limit_s)]
    return (max(worse) + 1) * BIN_S if worse else 0.0


def is_worse(calls, limit_s):
    """Return whether a bin of at least 20 calls is worse than before all events."""
    if len(calls) < 20:
        return False
    good = sum(x.good for x in calls)
    times = sorted(x.latency_s for x in calls)
    return good < 0.99 * len(calls) or find_percentile(times, 95) > limit_s


def main(
    *,
    scenarios: list[str] | None = None,
    variants: list[str] | None = None,
    seeds: int = 2,
):
    """Compare routing variants.

    Parameters
    ----------
    scenarios
        Names of scenarios; all by default.
    variants
        Names of baselines, ``sapphireway``, its variants ``no_hedges`` and
        ``no_probes``, or ``oracle``, which knows the slow servers and is an upper
        bound for routing; the baselines and ``sapphireway`` by default.
    seeds
        Number of runs of each variant; all variants use the same seeds.
    """
    print_header()
    for name in scenarios or SCENARIOS:
        for variant in variants or [*BASELINES, "sapphireway"]:
            measure(name, variant, range(1, seeds + 1))


if __name__ == "__main__":
    defopt.run(main)
