"""Total retries of a deployment at the called service."""

import pytest

from sapphireway_coordination.routing._budgets import RetryBudget

WINDOW_S = 10
ALLOWED_SHARE = 0.2  # of a service's requests in a window, as operators allow
PERCENT = 10.0
RESERVE_SHARE = 0.5


def spend_retry_budgets(nodes, requests, reserve):
    """Return the retries in a window if every node spends its whole budget."""
    tokens_max = max(reserve / nodes, 1.0)
    budgets = [RetryBudget() for _ in range(nodes)]
    for budget in budgets:
        for _ in range(1000):
            budget.deposit(PERCENT, tokens_max)
    spent = 0
    for number in range(requests):
        budget = budgets[number % nodes]
        budget.deposit(PERCENT, tokens_max)
        while budget.can_withdraw():
            budget.withdraw()
            spent += 1
    return spent


@pytest.mark.parametrize(
    ("nodes", "slack", "parent_per_s", "direct_per_s", "nested_share"),
    [
        (9, 56, 92, 19, 0.53),
        (8, 56, 87, 20, 0.47),
        (61, 162, 347, 72, 0.53),
        (84, 208, 340, 80, 0.47),
    ],
    ids=["mts-exchange", "hielo-claro", "mts-exchange-grown", "hielo-claro-grown"],
)
def test_retries_of_callers_and_nested_calls_stay_within_allowed_share(
    nodes, slack, parent_per_s, direct_per_s, nested_share
):
    """A retried request repeats its nested calls, which count as retries too."""
    parent_calls = parent_per_s * WINDOW_S
    requests = int((direct_per_s + parent_per_s * nested_share) * WINDOW_S)
    reserve = slack * RESERVE_SHARE
    parent_retries = spend_retry_budgets(nodes, parent_calls, reserve)
    retries = (
        spend_retry_budgets(nodes, requests, reserve) + parent_retries * nested_share
    )
    assert retries <= ALLOWED_SHARE * requests + slack
