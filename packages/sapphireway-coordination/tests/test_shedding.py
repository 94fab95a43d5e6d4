import random

import pytest

from sapphireway_coordination.routing._shedding import Shedder

CALLS_PER_S = 200
LIGHT, HEAVY = 10, 50


def offer_calls(shedder, load, seconds=4.0, start_s=0.0):
    """Offer `load` times the service's capacity; return admitted shares by weight."""
    rng = random.Random(3)
    offered, admitted, free_capacity = {LIGHT: 0, HEAVY: 0}, {LIGHT: 0, HEAVY: 0}, 0.0
    for number in range(int(seconds * CALLS_PER_S)):
        now_s = start_s + number / CALLS_PER_S
        free_capacity = min(free_capacity + 1.0 / load, 10.0)
        weight = rng.choice([LIGHT, LIGHT, HEAVY])
        offered[weight] += 1
        if not shedder.admit(weight, rng, now_s):
            continue
        admitted[weight] += 1
        if free_capacity >= 1.0:
            free_capacity -= 1.0
        else:
            shedder.record_overload(now_s)
    return {weight: admitted[weight] / offered[weight] for weight in offered}


@pytest.mark.parametrize("load", [0.1, 0.9])
def test_service_below_capacity_sheds_nothing(load):
    assert offer_calls(Shedder(), load) == {LIGHT: 1.0, HEAVY: 1.0}


@pytest.mark.parametrize("load", [2.0, 4.0])
def test_lowest_weight_is_shed_first(load):
    shares = offer_calls(Shedder(), load)
    assert shares[HEAVY] > 0.95
    assert shares[LIGHT] < 0.75


def test_share_recovers_within_two_seconds_after_overload():
    shedder = Shedder()
    offer_calls(shedder, 20.0)
    assert offer_calls(shedder, 0.5, start_s=6.0) == {LIGHT: 1.0, HEAVY: 1.0}


def test_overloaded_service_still_gets_calls():
    shares = offer_calls(Shedder(), 1000.0, seconds=20.0)
    assert shares[HEAVY] > 0.1
