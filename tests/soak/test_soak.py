import pytest

from tests.soak.play import play
from tests.soak.seeds import REGRESSIONS

SECONDS = 6.0
PLACES = 3


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_short_soak_keeps_every_promise(seed, tmp_path):
    problems, told = play(seed, SECONDS, PLACES, tmp_path)
    assert problems == [], told
