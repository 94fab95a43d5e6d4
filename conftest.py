"""Lets tests that are listed in KNOWN-RED.txt fail without failing the run."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the listed tests; each entry begins with a test's id in the first column."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known = {line.strip() for line in lines if line and not line.startswith(" ")}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
