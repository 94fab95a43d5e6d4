"""Runs all measurements in sequence and prints their tables."""

from collections.abc import Callable

from benchmarks import (
    capacity,
    claims,
    experiment,
    in_force,
    limits,
    path,
    policy,
    processes,
    quorum,
    renewals,
    server_client,
    settings_tree,
)

MEASUREMENTS: dict[str, Callable[[], None]] = {
    "Latency added by the path": path.main,
    "HTTP client to servers": server_client.main,
    "Routing": policy.main,
    "Experiments": experiment.main,
    "Limits of requests in flight": limits.run,
    "Claims": claims.main,
    "Settings tree": settings_tree.main,
    "Quorum": quorum.main,
    "Settings in force": in_force.main,
    "Control plane by cluster size": capacity.main,
    "Idle processes": processes.main,
    "Renewals over sockets": renewals.main,
}


def main() -> None:
    """Run all measurements."""
    for title, measure in MEASUREMENTS.items():
        print(f"\n{title}\n{'-' * len(title)}", flush=True)
        measure()


if __name__ == "__main__":
    main()
