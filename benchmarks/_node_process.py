"""Runs one node of a given source tree, for `benchmarks.cost`.

Arguments: the root of the source tree, process settings in JSON, and the service and
URL of the node's server, which are empty if it has none. Loads what deployments load,
the adapter to the platform included.
"""

import asyncio
import sys
from pathlib import Path

ROOT = Path(sys.argv[1])
SOURCES = [ROOT / "platform", *sorted(ROOT.glob("packages/*/src"))]
sys.path[0:1] = [str(path) for path in SOURCES]

import msgspec  # noqa: E402

import sapphireway_platform  # noqa: E402, F401
from sapphireway import hosting  # noqa: E402
from sapphireway_coordination import (  # noqa: E402
    Announcement,
    SelfReport,
    ServerDialect,
)
from sapphireway_state import ProcessSettings  # noqa: E402

SLOTS = 6
SLOWNESS_HEADER = "slowness"
RENEW_INTERVAL_S = 1.0


def _read_report(answer):
    for name, value in answer.headers:
        if name.lower() == SLOWNESS_HEADER:
            return SelfReport(slowness=float(value))
    return SelfReport()


def _make_dialects():
    server = ServerDialect(
        frozenset(), lambda *_: (), lambda _: False, read_report=_read_report
    )
    return hosting.Dialects(server=server)


def _announce_repeatedly(node, service, url):
    """Register the server now and renew its lease, as its heartbeats would."""
    name = f"{service}@{url.rpartition('/')[2]}"
    node.gate.announce(
        Announcement(
            name, service, url, SLOTS, 200, name, 0, cold_s=0.0, health_path="/health"
        )
    )
    loop = asyncio.get_running_loop()
    loop.call_later(RENEW_INTERVAL_S, _announce_repeatedly, node, service, url)


def main() -> int:
    """Run the node until a signal stops it."""
    settings = msgspec.json.decode(sys.argv[2])
    settings["control_hosts"] = tuple(settings["control_hosts"])
    service, url = sys.argv[3:5]

    def start_server(node):
        if url:
            _announce_repeatedly(node, service, url)

    hosting.configure_logs("json", "info")
    return asyncio.run(
        hosting.run_node(
            ProcessSettings(**settings),
            hosting.EventLog(),
            _make_dialects(),
            start_server,
        )
    )


if __name__ == "__main__":
    sys.exit(main())
