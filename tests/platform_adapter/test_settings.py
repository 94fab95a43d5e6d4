import json
import tomllib
from pathlib import Path

import msgspec
import pytest
import yaml

from sapphireway_coordination.gate._cold_rate import ColdRate
from sapphireway_platform._settings import load_settings

ROOT = Path("/root-of-the-tree")
DEPLOY_FILE = Path(__file__).parents[2] / "deploy/system.toml"
TREE_FILE = DEPLOY_FILE.parent / "tree.yaml"
COLD_LOAD_FACTOR = 1.5  # the users' bound on a cold server, in rates that it tells
NODE = {
    "node_name": "sidecar-bxl-a-1",
    "role": "node",
    "ip_address": "10.1.0.38",
    "zone": "bxl-a",
    "region": "be-central",
    "listen_addresses": {
        "outbound": "10.1.0.38:8147",
        "ready": "10.1.0.38:8141",
        "control_plane": "10.1.0.38:8144",
    },
    "internal_port_range": [7380, 7395],
    "seed_nodes": ["10.1.0.41:8144", "10.2.0.42:8144", "10.3.0.8:8144"],
    "initial_bootstrap": True,
    "serves": ["sidecar"],
    "bounds": {"grace_period": "6s", "retry_budget_slack": 56, "cold_slack": 5},
    "data_directory": None,
    "service": "huvo11a",
    "application_address": "10.1.0.38:8145",
    "later": {"fields": "are ignored"},
}
CONTROL = NODE | {
    "node_name": "core-bxl-a-1",
    "ip_address": "10.1.0.41",
    "listen_addresses": {"control_plane": "10.1.0.41:8144"},
    "serves": ["control_plane"],
    "data_directory": "/data/control",
    "service": None,
    "application_address": None,
}


@pytest.fixture
def load(tmp_path):
    def load(document):
        file = tmp_path / "settings.json"
        file.write_text(json.dumps(document))
        return load_settings(file, ROOT)

    return load


def test_settings_of_node(load):
    settings = load(NODE)
    process = settings.process
    assert settings.service == "huvo11a" and not settings.serves_operators
    assert process.address == "10.1.0.38:7380"
    assert process.http_address == "10.1.0.38:8147"
    assert (process.domain, process.region) == ("bxl-a", "be-central")
    assert (process.data_folder, process.control, process.bootstrap) == (
        "",
        False,
        False,
    )
    assert process.stop_grace_ms == 6000
    assert process.retry_reserve == 28


@pytest.mark.parametrize(("role", "document"), [("node", NODE), ("control", CONTROL)])
def test_metrics_address_matches_deploy_file(load, role, document):
    deploy = tomllib.loads(DEPLOY_FILE.read_text())
    port, _, path = deploy["roles"][role]["metrics"].partition("/")
    assert load(document).metrics_address == f"{document['ip_address']}:{port}"
    assert path == "metrics"


@pytest.mark.parametrize(
    ("document", "url", "service"),
    [(NODE, "http://10.1.0.38:8145", "huvo11a"), (CONTROL, "", "")],
)
def test_server_url_and_service(load, document, url, service):
    process = load(document).process
    assert (process.server_url, process.server_service) == (url, service)


def test_control_hosts_use_internal_port(load):
    hosts = load(NODE).process.control_hosts
    assert hosts == ("10.1.0.41:7380", "10.2.0.42:7380", "10.3.0.8:7380")


@pytest.mark.parametrize(
    ("change", "bootstraps"),
    [
        ({}, True),
        ({"initial_bootstrap": False}, False),
        ({"ip_address": "10.4.0.9"}, False),
    ],
    ids=["seed", "later-start", "no-seed"],
)
def test_only_seed_bootstraps_at_first_start(load, change, bootstraps):
    process = load(CONTROL | change).process
    assert process.control and process.open_control
    assert process.bootstrap is bootstraps
    assert process.data_folder == "/data/control"
    assert process.http_address == ""


@pytest.mark.parametrize(
    ("fault_tolerance", "losses_max"),
    [
        ({"machines": 2, "zones": 1}, 2),
        ({"machines": 40}, 10),
        ({"machines": None}, 1),
        (None, 1),
    ],
)
def test_tolerated_losses_reach_the_quorum(load, fault_tolerance, losses_max):
    process = load(CONTROL | {"fault_tolerance": fault_tolerance}).process
    assert process.control_losses_max == losses_max


@pytest.mark.parametrize("missing", ["ip_address", "seed_nodes", "bounds"])
def test_missing_field_is_rejected(load, missing):
    document = {name: value for name, value in NODE.items() if name != missing}
    with pytest.raises(msgspec.ValidationError, match=missing):
        load(document)


@pytest.mark.parametrize(
    ("field", "value", "message"),
    [
        ("internal_port_range", [], "internal_port_range"),
        ("listen_addresses", {}, "control_plane"),
        ("bounds", {"retry_budget_slack": 1}, "grace_period"),
        ("bounds", {"grace_period": "6s"}, "retry_budget_slack"),
        ("bounds", {"grace_period": "6s", "retry_budget_slack": 1}, "cold_slack"),
        (
            "bounds",
            {"grace_period": "6s", "retry_budget_slack": "x", "cold_slack": 1},
            "a number",
        ),
    ],
)
def test_missing_entry_of_a_field_is_named(load, field, value, message):
    with pytest.raises(ValueError, match=message):
        load(NODE | {field: value})


@pytest.mark.parametrize("rate_per_s", [2.0, 5.1, 17.0])
@pytest.mark.parametrize("slack", [5, 8, 10])
def test_cold_server_gets_less_than_users_allow_in_any_second(load, rate_per_s, slack):
    """One request less, since one that waited can arrive at the edge of a second."""
    process = load(NODE | {"bounds": NODE["bounds"] | {"cold_slack": slack}}).process
    percent = yaml.safe_load(TREE_FILE.read_text())["cold_rate_percent"]
    rate = ColdRate()
    limit_per_s = rate_per_s * percent / 100 + process.cold_reserve_per_s
    rate.start(limit_per_s, 3.0, 0.0)
    starts = []
    for step in range(3000):
        while rate.has_room(step / 1000):
            rate.take(step / 1000)
            starts.append(step / 1000)
    busiest = max(sum(s <= at_s < s + 1.0 for at_s in starts) for s in starts)
    assert busiest + 1 <= rate_per_s * COLD_LOAD_FACTOR + slack
    assert busiest >= rate_per_s


@pytest.mark.parametrize(
    ("bounds", "bound_ms"),
    [
        ({}, 0),
        ({"revocation": "5000ms"}, 0),
        ({"revocation": "5000ms", "revocation_strict": False}, 0),
        ({"revocation": "4s", "revocation_strict": True}, 4000),
        ({"revocation_strict": True}, 5000),
    ],
)
def test_bound_on_revocation_holds_only_where_it_is_strict(load, bounds, bound_ms):
    process = load(NODE | {"bounds": NODE["bounds"] | bounds}).process
    assert process.key_revocation_ms == bound_ms
