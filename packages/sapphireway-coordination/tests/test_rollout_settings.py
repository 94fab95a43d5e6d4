import msgspec
import pytest

from sapphireway_coordination import (
    ROLLOUT_PREFIX,
    ROUTE_PREFIX,
    AppliedState,
    ControlMachine,
)
from sapphireway_protocol import FetchSettings, SettingsUpdate
from sapphireway_state import (
    Publish,
    RequestKind,
    RolloutAccepted,
    RolloutRefused,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    StartRollout,
    StepRollout,
    UpdateResult,
    decode_current_rollout,
    decode_rollout_result,
    encode_publish,
    encode_rollout_command,
)


def apply(machine, index, command):
    content = ROLLOUT_PREFIX + encode_rollout_command(command)
    return decode_rollout_result(machine.apply(index, content))


def publish(machine, index):
    route = Route("r", "a", "/x/", RequestKind.ONCE, 800.0, (RouteTarget("ledger"),))
    table = RouteTable(5, (ServiceSpec("ledger"),), ("a",), (route,))
    machine.apply(index, ROUTE_PREFIX + encode_publish(Publish(b"1", 0, table)))


@pytest.fixture
def machine():
    machine = ControlMachine()
    publish(machine, 1)
    start = StartRollout("ledger", "v2", 12000.0, 50.0)
    assert apply(machine, 2, start) == RolloutAccepted(2)
    return machine


def test_order_for_service_outside_of_table_and_tree_is_refused(machine):
    result = apply(machine, 3, StartRollout("other", "v2", 12000.0, 50.0))
    assert isinstance(result, RolloutRefused) and "other" in result.detail
    assert machine.version == 2


def test_rollout_is_read_through_the_machine(machine):
    content = machine.read(ROLLOUT_PREFIX + b"ledger")
    assert decode_current_rollout(content).rollout.version == "v2"


def test_nodes_get_rollouts_only_when_they_changed(machine):
    state = AppliedState()
    assert state.get_rollout("ledger") is None
    state.apply(machine.make_update(0, 0))
    assert state.get_rollout("ledger").order == state.rollouts_version == 2
    apply(machine, 3, StepRollout("ledger", 2, 0.2))
    assert not machine.make_update(0, 0, 1, 3).rollouts
    state.apply(machine.make_update(0, 0, 1, state.rollouts_version))
    assert state.get_rollout("ledger").share == 0.2 and state.version == 3
    follower = AppliedState()
    follower.apply(state.copy().make_update(-1, -1, -1, -1))
    assert follower.get_rollout("ledger") == state.get_rollout("ledger")


def test_undecodable_rollouts_leave_the_state_as_it_was(machine):
    state = AppliedState()
    update = msgspec.structs.replace(machine.make_update(0, 0), rollouts=b"\xff")
    assert state.apply(update) is UpdateResult.BROKEN
    assert state.version == 0 and state.routes.version == 0


def test_snapshot_restores_rollouts(machine):
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    assert restored.rollouts.rollouts == machine.rollouts.rollouts
    assert restored.version == machine.version


def test_snapshot_and_settings_of_earlier_releases_still_load(machine):
    # They end before the fields of the rollouts.
    plain = ControlMachine()
    publish(plain, 1)
    snapshot = msgspec.msgpack.decode(plain.snapshot())[:4]
    restored = ControlMachine()
    restored.restore(msgspec.msgpack.encode(snapshot))
    assert restored.routes.version == 1 and not restored.rollouts.rollouts
    content = msgspec.msgpack.decode(msgspec.msgpack.encode(plain.make_update(0, 0)))
    saved = msgspec.convert(content[:6], type=SettingsUpdate)
    state = AppliedState()
    assert state.apply(saved) is UpdateResult.NEW and state.routes.version == 1
    fetch = msgspec.msgpack.encode(["fetch_settings", 1, 1, 1, 1])
    assert msgspec.msgpack.decode(fetch, type=FetchSettings).rollouts_version == 0
