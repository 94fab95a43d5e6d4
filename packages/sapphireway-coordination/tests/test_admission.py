import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireway_coordination.gate._admission import AdmissionQueue, Waiter
from sapphireway_protocol import NotRunReason

QUEUE_LIMIT = 4
SERVICE_S = 1.0


class AdmissionMachine(RuleBasedStateMachine):
    """Compares the queue with a plain list of the accepted waiters."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.loop = asyncio.new_event_loop()
        self.queue = AdmissionQueue(lambda: self.now_s)
        self.waiting = []
        self.accepted = 0

    def teardown(self):
        self.loop.close()

    @rule(weight=st.sampled_from([1, 10, 50]), budget_s=st.integers(1, 9))
    def push(self, weight, budget_s):
        deadline_s = self.now_s + budget_s
        waiter = Waiter(
            "a", weight, deadline_s, deadline_s, SERVICE_S, self.loop.create_future()
        )
        was_full = len(self.queue) == QUEUE_LIMIT
        lightest = min((w.weight for w in self.waiting), default=0)
        _, wait_s = self.queue.sum_ahead(waiter)
        refusal = self.queue.push(waiter, QUEUE_LIMIT, wait_s)
        if refusal is None:
            assert not was_full or lightest < weight, (
                "evicted a waiter of equal or higher weight"
            )
            self.waiting.append(waiter)
        elif refusal is NotRunReason.OVERLOADED:
            assert was_full and lightest >= weight
        else:
            ahead = [w for w in self.waiting if not rank(w) > rank(waiter)]
            latest_s = self.now_s + SERVICE_S * (len(ahead) + 1)
            assert latest_s > deadline_s, (
                "refused a waiter that could meet its deadline"
            )
        self.forget_decided()

    @rule()
    def pop(self):
        waiter = self.queue.pop()
        in_time = [w for w in self.waiting if w.start_by_s >= self.now_s]
        if waiter is None:
            assert not in_time
        else:
            assert rank(waiter) == min(map(rank, in_time))
            assert self.now_s + SERVICE_S <= waiter.deadline_s
            self.waiting.remove(waiter)
        self.forget_decided()

    @rule(data=st.data())
    def refuse(self, data):
        if self.waiting:
            waiter = data.draw(st.sampled_from(self.waiting))
            assert self.queue.refuse(waiter, NotRunReason.REVOKED)
            assert not self.queue.refuse(waiter, NotRunReason.REVOKED)
        self.forget_decided()

    @rule()
    def refuse_all(self):
        self.queue.refuse_all(NotRunReason.DRAINING)
        assert all(w.decision.result() for w in self.waiting)
        self.forget_decided()

    @rule(seconds=st.integers(1, 3))
    def wait(self, seconds):
        self.now_s += seconds

    def forget_decided(self):
        self.waiting = [w for w in self.waiting if not w.decision.done()]

    @invariant()
    def length_matches_model(self):
        assert len(self.queue) == len(self.waiting) <= QUEUE_LIMIT


def rank(waiter):
    return -waiter.weight, waiter.deadline_s


AdmissionMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
test_admission_machine = AdmissionMachine.TestCase
