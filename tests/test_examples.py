from pathlib import Path

import pytest

from sapphireway_state import check_file, load_process_settings, load_tree

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")), ids=str)
def test_example_is_valid(path):
    assert check_file(path) == []


def test_node_example_names_the_control_hosts():
    node = load_process_settings(EXAMPLES / "node.yaml")
    control = load_process_settings(EXAMPLES / "control.yaml")
    assert node.control_hosts == control.control_hosts
    assert control.address in control.control_hosts


@pytest.mark.parametrize(
    ("file", "method", "target", "service", "kind", "idempotent"),
    [
        ("mertens", "GET", "/matching/offers?q=tutor", "matching", "lookup", True),
        ("mertens", "GET", "/matching/offers/7/hours", "matching", "lookup", True),
        ("mertens", "POST", "/matching/confirmations", "matching", "confirmation", 0),
        ("mertens", "POST", "/ledger/photographs", "ledger", "photograph", False),
        ("mertens", "GET", "/ledger/balances/12", "ledger", "balance", True),
        ("mertens", "DELETE", "/ledger/balances/12", "ledger", "other", False),
        ("hielo-claro", "GET", "/portal/readings/merin", "portal", "reading", True),
        ("hielo-claro", "POST", "/portal/bookings", "portal", "booking", False),
        ("hielo-claro", "POST", "/campo/core-photographs", "campo", None, False),
        ("hielo-claro", "POST", "/campo/sounding-logs", "campo", "sounding-log", 0),
    ],
)
def test_example_assigns_request_to_kind(
    file, method, target, service, kind, idempotent
):
    view = load_tree(EXAMPLES / f"{file}.yaml")
    found = view.match(method, target, [])
    assert found == (service, kind or "core-photograph")
    assert view.resolve("any", *found).idempotent == bool(idempotent)
