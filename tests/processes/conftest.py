"""The fleet that the tests of this folder share; each test heals it first."""

import signal

import pytest

from tests.processes.harness import make_fleet


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    fleet = make_fleet(tmp_path_factory.mktemp("fleet"))
    # SIGTERM must not leave processes behind: it raises KeyboardInterrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.kill_all()
