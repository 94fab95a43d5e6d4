import msgspec
import pytest

from sapphireway_state import (
    Edit,
    SettingsFollower,
    SettingsMachine,
    SetValue,
    UpdateResult,
    encode_edit,
)


@pytest.fixture
def machine():
    machine = SettingsMachine()
    for index in range(1, 6):
        edit = Edit(f"e{index}", index - 1, [SetValue("weight", index)], "an")
        machine.apply(index, encode_edit(edit))
    return machine


def test_older_version_is_never_applied(machine):
    follower = SettingsFollower()
    older = SettingsMachine()
    older.apply(1, encode_edit(Edit("e1", 0, [SetValue("weight", 1)], "an")))
    assert follower.apply_update(machine.encode_tree()) is UpdateResult.NEW
    assert follower.apply_update(older.encode_tree()) is UpdateResult.OLD
    assert follower.view.version == 5
    assert follower.view.resolve("a", "b", "c").weight == 5


def apply_two_edits(machine):
    """Bring the machine to version 7; the tree is larger than the last change."""
    tree = {f"s{number}": {} for number in range(99)}
    edit = Edit("e6", 5, [SetValue("servers", tree)], "an")
    machine.apply(6, encode_edit(edit))
    edit = Edit("e7", 6, [SetValue("weight", 9)], "an")
    machine.apply(7, encode_edit(edit))


def test_delta_from_another_version_needs_whole_tree(machine):
    apply_two_edits(machine)
    follower = SettingsFollower()
    assert follower.apply_update(machine.encode_changes(6)) is UpdateResult.NEEDS_WHOLE
    assert follower.view.version == 0
    assert follower.apply_update(machine.encode_changes(0)) is UpdateResult.NEW


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda update: update[:-1],
        lambda update: update.replace(b"weight", b"weihgt"),
        lambda update: b"",
    ],
)
def test_damaged_update_changes_nothing(machine, corrupt):
    follower = SettingsFollower()
    assert follower.apply_update(corrupt(machine.encode_tree())) is UpdateResult.BROKEN
    assert follower.rejection_reason
    assert follower.view.version == 0


def test_rejection_reason_is_not_kept_for_a_later_update(machine):
    apply_two_edits(machine)
    follower = SettingsFollower()
    follower.apply_update(b"")
    assert follower.rejection_reason
    assert follower.apply_update(machine.encode_changes(6)) is UpdateResult.NEEDS_WHOLE
    assert not follower.rejection_reason


def test_tree_with_unknown_setting_is_refused_as_a_whole(machine):
    follower = SettingsFollower()
    follower.apply_update(machine.encode_tree())
    update = msgspec.msgpack.decode(machine.encode_tree())
    update[1] += 1
    update[2] = {"weight": 9, "of_a_later_program": 1}
    update[3] = _digest(update[2])
    assert follower.apply_update(msgspec.msgpack.encode(update)) is UpdateResult.BROKEN
    assert "of_a_later_program" in follower.rejection_reason
    assert follower.view.tree == {"weight": 5}


def test_stored_tree_restores_version_after_restart(machine):
    follower = SettingsFollower()
    follower.apply_update(machine.encode_tree())
    restarted = SettingsFollower()
    restarted.apply_update(follower.encode_tree())
    assert restarted.view.version == 5
    assert restarted.apply_update(machine.encode_changes(5)) is UpdateResult.OLD


def _digest(tree):
    from sapphireway_state._updates import digest_tree

    return digest_tree(tree)
