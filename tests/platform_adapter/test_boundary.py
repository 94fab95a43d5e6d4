"""The platform's wire names occur only in its adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
WIRE_NAMES = re.compile(
    r"Calling-Service|Response-Signature|Request-Not-Executed|Deadline-Remaining-Ms"
    r"|Expected-Instance|Server-Load|Server-Limit|Server-Leaving|Cold-Remaining-Ms|Instance-Id|Base-Version"
    r"|Configuration\.(Replace|Update|Read)|Instances\.(Heartbeat|Deregister)"
    r"|Evacuation\.(Start|Finish)|traffic_split|route_paths|virtual_hosts"
    r"|heartbeat_address|capacity_slots|cold_remaining|seed_nodes|initial_bootstrap"
    r"|SAPPHIREWAY_BOOT|Rollouts\.(Start|Read)|target_version"
    r"|Tenant-Name|\"Api-Key|anonymous_access|burst_size|api_keys|revocation_strict"
)


def list_sources(folder):
    return sorted((ROOT / folder).rglob("*.py"))


def test_wire_names_occur_only_in_adapter():
    occurrences = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in list_sources("packages")
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert occurrences == []


def count_lines(paths):
    return sum(len(path.read_text().splitlines()) for path in paths)


def test_adapter_has_under_a_tenth_of_the_lines():
    product = [p for p in list_sources("packages") if "/src/" in str(p)]
    assert count_lines(list_sources("platform")) * 10 < count_lines(product)
