"""Cost of a full-size settings tree: ``python -m benchmarks.settings_tree``."""

import statistics
import time
from collections.abc import Callable

from sapphireway_state import (
    Edit,
    LiveServers,
    SettingsFollower,
    SettingsMachine,
    SetValue,
    encode_edit,
)

DOMAINS = 16
SERVICES = 230
KINDS = 5
SERVERS_PER_SERVICE = 10
EDITS = 101
LOOKUPS = 20_000


def build_tree():
    """Return a tree of the target size."""
    services = {}
    for service in range(SERVICES):
        kinds = {
            f"k{kind}": {
                "match": {"methods": ["GET"], "paths": [f"/s{service}/k{kind}/**"]},
                "weight": 5,
                "idempotent": True,
                "deadline_ms": 1_000,
            }
            for kind in range(KINDS)
        }
        match = {"path_prefixes": [f"/s{service}"]}
        services[f"s{service}"] = {"match": match, "kinds": kinds}
    domains = {f"d{domain}": {} for domain in range(DOMAINS)}
    return {"domains": domains, "services": services}


def list_live_servers():
    """Return the live servers that are sent with an edit of a domain."""
    return [
        LiveServers(f"s{service}", f"d{number % DOMAINS}", [f"s{service}-{number}"])
        for service in range(SERVICES)
        for number in range(SERVERS_PER_SERVICE)
    ]


def measure_ms(run: Callable[[], object]) -> float:
    """Return the duration of one call of `run`."""
    started_s = time.perf_counter()
    run()
    return (time.perf_counter() - started_s) * 1_000


def measure_mean_us(run: Callable[[], object]) -> float:
    """Return the mean duration of many calls of `run`."""
    return measure_ms(lambda: [run() for _ in range(LOOKUPS)]) * 1_000 / LOOKUPS


def main():
    """Print one result per line."""
    machine = SettingsMachine()
    follower = SettingsFollower()
    first_edit = Edit("e0", 0, [SetValue("", build_tree())], "an")
    print_result(
        "whole tree set, ms",
        measure_ms(lambda: machine.apply(1, encode_edit(first_edit))),
    )
    encoded_tree = machine.encode_tree()
    print_result("whole tree, bytes", len(encoded_tree))
    print_result(
        "whole tree applied, ms",
        measure_ms(lambda: follower.apply_update(encoded_tree)),
    )
    edit_bytes, applied_ms, delta_applied_ms, delta_bytes = [], [], [], []
    for index in range(2, EDITS + 1):
        operation = SetValue("domains/d3/out", bool(index % 2))
        edit = Edit(f"e{index}", index - 1, [operation], "an", live=list_live_servers())
        command = encode_edit(edit)
        edit_bytes.append(len(command))
        applied_ms.append(measure_ms(lambda c=command, i=index: machine.apply(i, c)))
        delta = machine.encode_changes(index - 1)
        delta_bytes.append(len(delta))
        delta_applied_ms.append(measure_ms(lambda d=delta: follower.apply_update(d)))
    print_result("edit with live servers, bytes", statistics.median(edit_bytes))
    print_result("edit applied, ms", statistics.median(applied_ms))
    print_result("delta, bytes", statistics.median(delta_bytes))
    print_result("delta applied, ms", statistics.median(delta_applied_ms))
    print_result("snapshot taken, ms", measure_ms(machine.snapshot))
    print_result("snapshot, bytes", len(machine.snapshot()))
    view = follower.view
    print_result("resolve, us", measure_mean_us(lambda: view.resolve("d1", "s1", "k1")))
    headers = [("Host", "localhost"), ("Accept", "*/*")]
    print_result(
        "match, us",
        measure_mean_us(lambda: view.match("GET", "/s200/k3/offers/3?q=1", headers)),
    )


def print_result(name: str, value: float) -> None:
    """Print one result."""
    print(f"{name:32} {value:12,.2f}")


if __name__ == "__main__":
    main()
