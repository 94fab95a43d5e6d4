import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireway_coordination import (
    ClaimGroupMachine,
    GroupChange,
    GroupChangeResult,
)
from sapphireway_protocol import GroupHolder

A, B, C, D, E = (GroupHolder(name, f"{name}/1", f"d-{name}") for name in "abcde")
A2 = GroupHolder("a", "a/2", "d-a")


def change(machine, epoch, holders, **options):
    command = msgspec.msgpack.encode(GroupChange("s", epoch, holders, **options))
    return msgspec.msgpack.decode(machine.apply(1, command), type=GroupChangeResult)


@pytest.fixture
def machine():
    machine = ClaimGroupMachine()
    assert change(machine, 0, (A, B, C)).accepted
    return machine


def test_change_records_the_previous_holders(machine):
    group = change(machine, 1, (A, B, D)).group
    assert (group.epoch, group.previous, group.majority) == (2, (A, B, C), 2)


def test_concurrent_changes_have_one_winner(machine):
    assert change(machine, 1, (A, B, D)).accepted
    result = change(machine, 1, (A, C, D))
    assert not result.accepted
    assert result.group.holders == (A, B, D)


@pytest.mark.parametrize(
    "holders",
    [(), (A, D, E), (A, B, C), (A2, A, B), (A, B, C, D, E, A2)],
    ids=["none", "two new", "same", "a node twice", "too many"],
)
def test_invalid_change_is_refused(machine, holders):
    before = machine.snapshot()
    assert not change(machine, 1, holders).accepted
    assert machine.snapshot() == before


def test_loss_replaces_all_holders_without_takeover(machine):
    assert not change(machine, 1, (A2, D, E), lost=True).accepted
    group = change(machine, 1, (A2, D, E), lost=True, unsure_s=9.0).group
    assert (group.previous, group.lost, group.unsure_s) == ((), True, 9.0)
    assert not change(machine, 2, (A2, D, B)).group.lost


def test_malformed_command_is_refused(machine):
    assert b"malformed" in machine.apply(1, b"\xc1")


@settings(derandomize=True, max_examples=50)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("s", "t")),
            st.integers(0, 4),
            st.lists(st.sampled_from((A, B, C, D, E, A2)), max_size=4).map(tuple),
            st.booleans(),
        )
    )
)
def test_restored_machine_applies_commands_alike(changes):
    kept, restored = ClaimGroupMachine(), ClaimGroupMachine()
    for service, epoch, holders, lost in changes:
        restored.restore(kept.snapshot())
        before = kept.get_group(service)
        command = msgspec.msgpack.encode(
            GroupChange(service, epoch, holders, lost, 1.0 if lost else 0.0)
        )
        assert kept.apply(1, command) == restored.apply(1, command)
        assert kept.snapshot() == restored.snapshot()
        after = kept.get_group(service)
        if before is not None and after is not before and not after.lost:
            assert after.previous == before.holders
            assert after.epoch == before.epoch + 1
