import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireway_state import (
    EndRollout,
    Rollout,
    RolloutAccepted,
    RolloutConflict,
    RolloutIgnored,
    RolloutMachine,
    RolloutRefused,
    RolloutState,
    StartRollout,
    StepRollout,
    VersionRole,
    decode_current_rollout,
    decode_rollout_result,
    encode_rollout_command,
)

SERVICES = ("ledger", "quotes")


def apply(machine, index, command):
    encoded = encode_rollout_command(command)
    return decode_rollout_result(machine.apply(index, encoded, SERVICES))


def start(machine, index, version="v2", service="ledger", duration_ms=12000.0):
    return apply(machine, index, StartRollout(service, version, duration_ms, 50.0))


def end(machine, index, order, state):
    return apply(machine, index, EndRollout("ledger", order, state, "why"))


@pytest.fixture
def machine():
    machine = RolloutMachine()
    assert start(machine, 3) == RolloutAccepted(3)
    return machine


def test_order_is_readable_and_starts_without_share(machine):
    rollout = decode_current_rollout(machine.read(b"ledger")).rollout
    assert (rollout.version, rollout.order, rollout.share) == ("v2", 3, 0.0)
    assert rollout.state is RolloutState.RUNNING and machine.version == 3
    assert decode_current_rollout(machine.read(b"quotes")).rollout is None


@pytest.mark.parametrize("state", [None, *RolloutState])
def test_same_order_is_acknowledged_again_whatever_became_of_it(machine, state):
    if state not in (None, RolloutState.RUNNING):
        apply(machine, 4, StepRollout("ledger", 3, 1.0))
        assert end(machine, 5, 3, state) == RolloutAccepted(3)
    before = machine.snapshot()
    assert start(machine, 6) == RolloutAccepted(3)
    assert machine.snapshot() == before


def test_racing_order_of_other_version_conflicts_until_the_end(machine):
    assert start(machine, 4, "v3") == RolloutConflict("v2", 3)
    assert start(machine, 5, "v3", "quotes") == RolloutAccepted(5)
    end(machine, 6, 3, RolloutState.ROLLED_BACK)
    assert start(machine, 7, "v3") == RolloutAccepted(7)


@pytest.mark.parametrize(("after", "started"), [(0, False), (3, True), (None, True)])
def test_order_is_ignored_if_another_rollout_was_ordered_since(machine, after, started):
    """An order that a frozen host holds back must not undo later ones."""
    end(machine, 4, 3, RolloutState.ROLLED_BACK)
    result = apply(machine, 5, StartRollout("ledger", "v3", 1000.0, 50.0, after))
    assert result == (RolloutAccepted(5) if started else RolloutIgnored())
    repeated = apply(machine, 6, StartRollout("ledger", "v2", 1000.0, 50.0, 0))
    assert repeated == (RolloutConflict("v3", 5) if started else RolloutAccepted(3))


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({"service": "unknown"}, "not known"),
        ({"service": ""}, "service"),
        ({"version": " "}, "version"),
        ({"version": "v" * 201}, "version"),
        ({"duration_ms": 0.0}, "duration"),
        ({"duration_ms": float("nan")}, "duration"),
        ({"duration_ms": float("inf")}, "duration"),
    ],
)
def test_invalid_order_is_refused_with_reason(changes, wrong):
    machine = RolloutMachine()
    result = start(machine, 1, **changes)
    assert isinstance(result, RolloutRefused) and wrong in result.detail
    assert machine.version == 0


def test_step_or_end_of_an_earlier_order_is_ignored(machine):
    # A leader that was frozen proposes them after its successor ended the rollout.
    end(machine, 4, 3, RolloutState.ROLLED_BACK)
    assert apply(machine, 5, StepRollout("ledger", 3, 0.5)) == RolloutIgnored()
    start(machine, 6, "v3")
    assert apply(machine, 7, StepRollout("ledger", 3, 0.5)) == RolloutIgnored()
    assert end(machine, 8, 3, RolloutState.ROLLED_BACK) == RolloutIgnored()
    assert machine.rollouts["ledger"].running and machine.version == 6


def test_share_never_falls(machine):
    apply(machine, 4, StepRollout("ledger", 3, 0.5, "good", 4000.0))
    assert apply(machine, 5, StepRollout("ledger", 3, 0.2)) == RolloutIgnored()
    assert apply(machine, 6, StepRollout("ledger", 3, 1.5)) == RolloutIgnored()
    rollout = machine.rollouts["ledger"]
    assert (rollout.share, rollout.changed, rollout.age_ms) == (0.5, 4, 4000.0)


def test_rollout_completes_only_after_all_requests_were_moved(machine):
    apply(machine, 4, StepRollout("ledger", 3, 0.5))
    assert isinstance(end(machine, 5, 3, RolloutState.COMPLETED), RolloutRefused)
    apply(machine, 6, StepRollout("ledger", 3, 1.0))
    assert end(machine, 7, 3, RolloutState.COMPLETED) == RolloutAccepted(3)
    assert isinstance(end(machine, 8, 3, RolloutState.ROLLED_BACK), RolloutIgnored)


def test_versions_served_follow_the_state(machine):
    def list_served():
        rollout = machine.rollouts["ledger"]
        return [v for v in ("v1", "v2", "") if rollout.serves(v)]

    assert list_served() == ["v1", "v2", ""]
    apply(machine, 4, StepRollout("ledger", 3, 1.0))
    assert list_served() == ["v2"]
    end(machine, 5, 3, RolloutState.COMPLETED)
    assert list_served() == ["v2"]
    start(machine, 6, "v3")
    end(machine, 7, 6, RolloutState.ROLLED_BACK)
    # Only the completed version is left, not the one before it.
    assert list_served() == ["v2"]


def test_version_that_was_rolled_back_stays_excluded_from_the_next_rollout(machine):
    # Its servers drain some seconds later, and are bad meanwhile.
    end(machine, 4, 3, RolloutState.ROLLED_BACK)
    start(machine, 5, "v3")
    rollout = machine.rollouts["ledger"]
    roles = [rollout.get_role(version) for version in ("v1", "v2", "v3")]
    assert roles == [VersionRole.OLD, VersionRole.EXCLUDED, VersionRole.NEW]
    end(machine, 6, 5, RolloutState.ROLLED_BACK)
    start(machine, 7, "v2")
    assert machine.rollouts["ledger"].get_role("v2") is VersionRole.NEW


def test_malformed_command_is_refused(machine):
    result = decode_rollout_result(machine.apply(9, b"\xff", SERVICES))
    assert isinstance(result, RolloutRefused) and machine.version == 3


class RolloutRuns(RuleBasedStateMachine):
    """Commands in any order: shares rise, ends are final, snapshots are complete."""

    def __init__(self):
        super().__init__()
        self.machine = RolloutMachine()
        self.index = 0
        self.ended = {}
        self.shares = {}

    def apply(self, command):
        self.index += 1
        apply(self.machine, self.index, command)

    @rule(version=st.sampled_from(["v1", "v2", "v3"]))
    def order(self, version):
        self.apply(StartRollout("ledger", version, 1000.0, 0.0))

    @rule(order=st.integers(1, 30), share=st.sampled_from([0.05, 0.2, 0.5, 1.0]))
    def step(self, order, share):
        self.apply(StepRollout("ledger", order, share))

    @rule(order=st.integers(1, 30), state=st.sampled_from(list(RolloutState)))
    def end(self, order, state):
        self.apply(EndRollout("ledger", order, state, ""))

    @rule()
    def restore(self):
        restored = RolloutMachine()
        restored.restore(self.machine.snapshot())
        assert restored.snapshot() == self.machine.snapshot()
        self.machine = restored

    @invariant()
    def ends_are_final_and_shares_rise(self):
        for rollout in self.machine.rollouts.values():
            known = self.ended.get(rollout.order)
            assert known is None or known == rollout.state
            assert rollout.share >= self.shares.get(rollout.order, 0.0)
            self.shares[rollout.order] = rollout.share
            if not rollout.running:
                self.ended[rollout.order] = rollout.state


RolloutRuns.TestCase.settings = settings(max_examples=50, deadline=None)
TestRolloutRuns = RolloutRuns.TestCase


def test_rollout_without_later_fields_is_decoded():
    # Fields are appended with defaults, so that older snapshots still load.
    old = msgspec.msgpack.encode(["ledger", "v2", 3, 50.0, 12000.0])

    rollout = msgspec.msgpack.decode(old, type=Rollout)
    assert rollout.running and rollout.excluded == ()
