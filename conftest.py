"""Marks the tests that KNOWN-RED.txt lists as expected failures."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the listed tests; an entry is a test id, followed by indented lines."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known_ids = {line.strip() for line in lines if line and not line.startswith(" ")}
    for item in items:
        if item.nodeid in known_ids:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
