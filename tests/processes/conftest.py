"""The fleet that the tests of this folder share; each leaves it to be healed."""

import signal

import pytest

from tests.processes.harness import make_fleet


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    fleet = make_fleet(tmp_path_factory.mktemp("fleet"))
    # A run that is told to end still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.kill_all()
