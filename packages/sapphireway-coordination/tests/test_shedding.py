import random

import pytest

from sapphireway_coordination.routing._shedding import Shedder

CALLS_PER_S = 200
LIGHT, HEAVY = 10, 50


def offer(shedder, load, seconds=4.0, start_s=0.0):
    """Offer `load` times what the service bears; return shares admitted by weight."""
    rng = random.Random(3)
    offered, admitted, room = {LIGHT: 0, HEAVY: 0}, {LIGHT: 0, HEAVY: 0}, 0.0
    for number in range(int(seconds * CALLS_PER_S)):
        now_s = start_s + number / CALLS_PER_S
        room = min(room + 1.0 / load, 10.0)
        weight = rng.choice([LIGHT, LIGHT, HEAVY])
        offered[weight] += 1
        if not shedder.admit(weight, rng, now_s):
            continue
        admitted[weight] += 1
        if room >= 1.0:
            room -= 1.0
        else:
            shedder.record_overload(now_s)
    return {weight: admitted[weight] / offered[weight] for weight in offered}


@pytest.mark.parametrize("load", [0.1, 0.9])
def test_service_below_its_capacity_is_not_shed(load):
    assert offer(Shedder(), load) == {LIGHT: 1.0, HEAVY: 1.0}


@pytest.mark.parametrize("load", [2.0, 4.0])
def test_light_kind_is_shed_first(load):
    shares = offer(Shedder(), load)
    assert shares[HEAVY] > 0.95
    assert shares[LIGHT] < 0.75


def test_share_is_whole_two_seconds_after_overload():
    shedder = Shedder()
    offer(shedder, 20.0)
    assert offer(shedder, 0.5, start_s=6.0) == {LIGHT: 1.0, HEAVY: 1.0}


def test_refusing_service_still_gets_calls():
    shares = offer(Shedder(), 1000.0, seconds=20.0)
    assert shares[HEAVY] > 0.1
