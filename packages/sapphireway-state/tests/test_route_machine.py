import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireway_state import (
    Publish,
    Published,
    RequestKind,
    Route,
    RouteMachine,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    Superseded,
    Unpublishable,
    decode_current_table,
    decode_publish_result,
    encode_publish,
)


def make_table(number, prefix="/x/"):
    route = Route("r", "a", prefix, RequestKind.ONCE, 800.0, (RouteTarget("s"),))
    return RouteTable(number, (ServiceSpec("s"),), ("a",), (route,))


def publish(machine, index, digest, base, table):
    command = encode_publish(Publish(digest, base, table))
    return decode_publish_result(machine.apply(index, command))


@pytest.fixture
def machine():
    machine = RouteMachine()
    assert publish(machine, 1, b"first", 0, make_table(5)) == Published(5)
    return machine


def test_resent_order_is_accepted_after_later_orders(machine):
    assert publish(machine, 2, b"second", 5, make_table(7)) == Published(7)
    assert publish(machine, 3, b"first", 0, make_table(5)) == Published(5)
    assert machine.table.number == 7


def test_second_order_on_same_base_is_superseded(machine):
    assert publish(machine, 2, b"a", 5, make_table(6, "/a/")) == Published(6)
    assert publish(machine, 3, b"b", 5, make_table(6, "/b/")) == Superseded(6)
    assert machine.table.routes[0].path_prefix == "/a/"


@pytest.mark.parametrize(
    "table", [make_table(5), make_table(6, "x")], ids=["number", "route"]
)
def test_invalid_table_changes_nothing(machine, table):
    assert isinstance(publish(machine, 2, b"wrong", 5, table), Unpublishable)
    assert machine.table == make_table(5)


def test_undecodable_command_changes_nothing(machine):
    result = decode_publish_result(machine.apply(2, b"\xc1"))
    assert isinstance(result, Unpublishable)
    assert machine.version == 1


def test_snapshot_restores_table_and_accepted_orders(machine):
    restored = RouteMachine()
    restored.restore(machine.snapshot())
    assert restored.table == machine.table
    assert publish(restored, 2, b"first", 0, make_table(5)) == Published(5)
    assert decode_current_table(restored.read(b"first")).accepted == 5
    assert decode_current_table(restored.read(b"other")).accepted is None


class ConcurrentOperators(RuleBasedStateMachine):
    """Operators publish concurrently and resend orders; hosts restart."""

    def __init__(self):
        super().__init__()
        self.machine = RouteMachine()
        self.index = 0
        self.sent = []
        self.accepted = {}

    @rule(
        base=st.integers(0, 6), number=st.integers(0, 9), name=st.sampled_from("abcdef")
    )
    def order(self, base, number, name):
        order = (name.encode() + bytes([base, number]), base, make_table(number))
        self.sent.append(order)
        self.apply(order)

    @rule(which=st.integers(0, 100))
    def resend(self, which):
        if self.sent:
            self.apply(self.sent[which % len(self.sent)])

    @rule()
    def restart(self):
        restored = RouteMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored

    def apply(self, order):
        digest, base, table = order
        before = self.machine.table.number
        self.index += 1
        result = publish(self.machine, self.index, digest, base, table)
        if digest in self.accepted:
            assert result == Published(self.accepted[digest])
        elif isinstance(result, Published):
            assert base == before < table.number
            self.accepted[digest] = table.number
        else:
            assert self.machine.table.number == before

    @invariant()
    def table_has_newest_accepted_number(self):
        newest = max(self.accepted.values(), default=0)
        assert self.machine.table.number == newest


TestConcurrentOperators = ConcurrentOperators.TestCase
TestConcurrentOperators.settings = settings(
    derandomize=True, max_examples=60, deadline=None
)
