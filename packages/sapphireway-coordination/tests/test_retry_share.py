"""What the repeats of a whole deployment add up to at the service that is called."""

import pytest

from sapphireway_coordination.routing._budgets import RetryBudget

WINDOW_S = 10
ALLOWED_SHARE = 0.2  # of a service's requests in a window, as operators allow
PERCENT = 10.0
RESERVE_SHARE = 0.5


def spend_all(nodes, requests, reserve):
    """Return the repeats in a window if every node spends all that it may."""
    kept = max(reserve / nodes, 1.0)
    budgets = [RetryBudget() for _ in range(nodes)]
    for budget in budgets:
        for _ in range(1000):
            budget.deposit(PERCENT, kept)
    spent = 0
    for number in range(requests):
        budget = budgets[number % nodes]
        budget.deposit(PERCENT, kept)
        while budget.can_withdraw():
            budget.withdraw()
            spent += 1
    return spent


@pytest.mark.parametrize(
    ("nodes", "slack", "front_per_s", "own_per_s", "calls_share"),
    [
        (9, 56, 92, 19, 0.53),
        (8, 56, 87, 20, 0.47),
        (61, 162, 347, 72, 0.53),
        (84, 208, 340, 80, 0.47),
    ],
    ids=["mts-exchange", "hielo-claro", "mts-exchange-grown", "hielo-claro-grown"],
)
def test_repeats_of_callers_and_their_calls_stay_within_what_is_allowed(
    nodes, slack, front_per_s, own_per_s, calls_share
):
    """A request that runs again makes its calls again; they count as repeats too."""
    front = front_per_s * WINDOW_S
    requests = int((own_per_s + front_per_s * calls_share) * WINDOW_S)
    reserve = slack * RESERVE_SHARE
    repeated_front = spend_all(nodes, front, reserve)
    repeats = spend_all(nodes, requests, reserve) + repeated_front * calls_share
    assert repeats <= ALLOWED_SHARE * requests + slack
