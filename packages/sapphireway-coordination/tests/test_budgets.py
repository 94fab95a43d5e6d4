import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireway_coordination.routing._budgets import (
    PROBE_BURST_S,
    RETRY_TOKENS_INITIAL,
    RateBudget,
    RetryBudget,
)


class RetryBudgetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.calls = 0
        self.retries = 0

    @rule(calls=st.integers(1, 200))
    def deposit(self, calls):
        self.calls += calls
        for _ in range(calls):
            self.budget.deposit(10.0)

    @rule(wanted=st.integers(1, 50))
    def withdraw(self, wanted):
        for _ in range(wanted):
            could = self.budget.can_withdraw()
            assert self.budget.withdraw() == could
            self.retries += could

    @invariant()
    def retries_stay_within_share(self):
        assert self.retries <= RETRY_TOKENS_INITIAL + 0.1 * self.calls + 1e-6
        assert self.budget.spent == self.retries


class RateBudgetMachine(RuleBasedStateMachine):
    RATE_PER_S = 20.0

    def __init__(self):
        super().__init__()
        self.budget = RateBudget()
        self.now_s = 100.0
        self.sent = []

    @rule(gap_s=st.floats(0.0, 3.0))
    def wait(self, gap_s):
        self.now_s += gap_s

    @rule(wanted=st.integers(1, 40))
    def withdraw(self, wanted):
        for _ in range(wanted):
            if self.budget.withdraw(self.RATE_PER_S, self.now_s):
                self.sent.append(self.now_s)

    @invariant()
    def every_window_stays_within_rate(self):
        burst = self.RATE_PER_S * PROBE_BURST_S
        for first, start_s in enumerate(self.sent):
            for last in range(first, len(self.sent)):
                allowed = burst + (self.sent[last] - start_s) * self.RATE_PER_S
                assert last - first + 1 <= allowed + 1e-6


for machine in (RetryBudgetMachine, RateBudgetMachine):
    machine.TestCase.settings = settings(
        max_examples=30, stateful_step_count=20, derandomize=True, deadline=None
    )
TestRetryBudget = RetryBudgetMachine.TestCase
TestRateBudget = RateBudgetMachine.TestCase


@pytest.mark.parametrize("rate_per_s", [0.0, -1.0])
def test_rate_budget_without_rate_denies_everything(rate_per_s):
    assert not RateBudget().withdraw(rate_per_s, 0.0)


def test_retry_budget_saves_no_more_than_reserve_while_idle():
    budget = RetryBudget()
    for _ in range(1000):
        budget.deposit(12.0, 3.0)
    spent = 0
    while budget.can_withdraw():
        budget.withdraw()
        spent += 1
    assert spent == 3


@pytest.mark.parametrize("nodes", [1, 9, 84])
def test_retry_budgets_of_all_nodes_stay_within_share_and_reserve(nodes):
    """All nodes together must not spend more in a burst than operators allow."""
    reserve, percent, calls = 42.0, 12.0, 900
    budgets = [RetryBudget() for _ in range(nodes)]
    spent = 0
    for budget in budgets:
        for _ in range(500):
            budget.deposit(percent, max(reserve / nodes, 1.0))
    for number in range(calls):
        budget = budgets[number % nodes]
        budget.deposit(percent, max(reserve / nodes, 1.0))
        while budget.can_withdraw():
            budget.withdraw()
            spent += 1
    assert spent <= max(reserve, nodes) + calls * percent / 100.0 + 1e-6
