import pytest

from tests.soak.runner import run_seed
from tests.soak.seeds import REGRESSIONS

SECONDS = 6.0
PLACES = 3


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_short_soak_violates_no_guarantee(seed, tmp_path):
    violations, summary = run_seed(seed, SECONDS, PLACES, tmp_path)
    assert violations == [], summary
