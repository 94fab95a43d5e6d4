"""The fleet that the tests of this folder share; each leaves it to be healed."""

import pytest

from tests.processes.harness import make_fleet


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    fleet = make_fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.end()
