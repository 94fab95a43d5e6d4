import resource

import pytest

from sapphireway_transport import read_descriptors
from sapphireway_transport._host_limits import UNLIMITED_DESCRIPTORS


@pytest.mark.parametrize(
    ("allowed", "told", "expected"),
    [
        (600, 0, 600),
        (600, 4_100, 600),
        (4_100, 600, 600),
        (resource.RLIM_INFINITY, 600, 600),
        (resource.RLIM_INFINITY, 0, UNLIMITED_DESCRIPTORS),
    ],
)
def test_descriptors_are_those_that_settings_and_process_allow(
    monkeypatch, allowed, told, expected
):
    monkeypatch.setattr(resource, "getrlimit", lambda what: (allowed, allowed))
    assert read_descriptors(told) == expected
