import pytest

from sapphireway_transport import make_body_budget, separate_large_blocks
from sapphireway_transport._memory_budget import MIB

PIECE_BYTES = 64 * 1024
BODY_MAX_BYTES = 64 * MIB  # the largest that routing tables allow


@pytest.mark.parametrize(
    ("memory_mib", "expected_mib"), [(10, 4), (128, 40), (200, 76), (4096, 76)]
)
def test_budget_follows_from_the_memory_of_the_host(memory_mib, expected_mib):
    budget = make_body_budget(memory_mib * MIB)
    while budget.reserve(PIECE_BYTES):
        pass
    assert budget.used_bytes == expected_mib * MIB


@pytest.mark.parametrize("memory_mib", [200, 4096])
def test_largest_body_fits_on_the_smallest_hosts(memory_mib):
    budget = make_body_budget(memory_mib * MIB)
    assert budget.body_max_bytes >= BODY_MAX_BYTES
    assert budget.reserve(BODY_MAX_BYTES, BODY_MAX_BYTES)


def test_large_blocks_are_given_back():
    assert separate_large_blocks()
