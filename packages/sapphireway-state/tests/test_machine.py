import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

from sapphireway_state import (
    Accepted,
    Conflict,
    Edit,
    ForceNeeded,
    LiveServers,
    ReadChanges,
    ReadHistory,
    ReadTree,
    Refused,
    SettingsFollower,
    SettingsMachine,
    SetValue,
    TooOld,
    UnsetValue,
    UpdateResult,
    _answers,
    _machine,
    decode_answer,
    decode_result,
    encode_edit,
    encode_query,
)

OPERATORS = ("an", "luz")
BASE_TREE = {
    "domains": {"bxl-a": {}, "bxl-b": {}},
    "services": {"ledger": {"kinds": {"balance": {"weight": 5}}}},
}
PATHS = (
    "weight",
    "domains/bxl-a/out",
    "services/ledger/weight",
    "services/ledger/kinds/balance/weight",
    "domains/bxl-a/services/ledger/queue_limit",
)
VALUES = st.sampled_from([1, 2, 3, 7, 100, 101, "7"])


def make_edit(edit_id, base, *operations, **more):
    return Edit(edit_id, base, list(operations), "an", **more)


def apply_edit(machine, edit, index=None):
    position = index or machine.index + 1
    return decode_answer(machine.apply(position, encode_edit(edit)))


def read(machine, query):
    return decode_result(machine.read(encode_query(query)))


@pytest.fixture
def machine():
    machine = SettingsMachine()
    apply_edit(machine, make_edit("first", 0, SetValue("", BASE_TREE)))
    return machine


class ModelMachine:
    """Reference model: accepted values by path, and the first answer to each edit."""

    def __init__(self):
        self.version = 0
        self.values = {}
        self.answers = {}

    def is_valid(self, path, value):
        if path.endswith("out"):
            return value is True
        return type(value) is int and 0 <= value <= (10_000 if "q" in path else 100)

    def apply(self, index, edit):
        if edit.base != self.version:
            return Conflict
        values = dict(self.values)
        for operation in edit.operations:
            if isinstance(operation, SetValue):
                values[operation.path] = operation.value
            elif values.pop(operation.path, None) is None:
                return Refused
        if not all(self.is_valid(*item) for item in values.items()):
            return Refused
        self.values = values
        self.version = index
        return Accepted


def list_values(tree, path=""):
    found = {}
    for name, value in tree.items():
        here = f"{path}{name}"
        if isinstance(value, dict):
            found |= list_values(value, here + "/")
        else:
            found[here] = value
    return found


class ConcurrentOperators(RuleBasedStateMachine):
    """Two operators edit and resend; hosts restart from snapshots at any time."""

    edits = Bundle("edits")

    def __init__(self):
        super().__init__()
        self.machine = SettingsMachine()
        self.replica = SettingsMachine()
        self.follower = SettingsFollower()
        self.peer_follower = SettingsFollower()
        self.model = ModelMachine()
        self.seen = dict.fromkeys(OPERATORS, 0)
        self.count = 0
        self.apply_both(make_edit("first", 0, SetValue("", BASE_TREE)))
        self.model.version = self.machine.version
        self.model.values = list_values(BASE_TREE)

    def apply_both(self, edit, gap=1):
        index = self.machine.index + gap
        command = encode_edit(edit)
        answer = self.machine.apply(index, command)
        assert self.replica.apply(index, command) == answer
        return decode_answer(answer)

    @rule(operator=st.sampled_from(OPERATORS))
    def read_version(self, operator):
        self.seen[operator] = read(self.machine, ReadTree()).version

    @rule(
        target=edits,
        operator=st.sampled_from(OPERATORS),
        gap=st.integers(1, 3),
        is_current=st.booleans(),
        operations=st.lists(
            st.builds(SetValue, st.sampled_from(PATHS), VALUES)
            | st.just(SetValue("domains/bxl-a/out", True))
            | st.builds(UnsetValue, st.sampled_from(PATHS)),
            min_size=1,
            max_size=3,
        ),
    )
    def edit(self, operator, gap, is_current, operations):
        self.count += 1
        if is_current:
            self.read_version(operator)
        base = self.seen[operator]
        edit = Edit(f"e{self.count}", base, operations, operator, force=True)
        before = self.machine.tree
        answer = self.apply_both(edit, gap)
        expected = self.model.apply(self.machine.index, edit)
        if isinstance(answer, TooOld):
            assert expected is Conflict and base < answer.oldest_base
        else:
            assert type(answer) is expected
        if expected is not Accepted:
            assert self.machine.tree is before
        self.model.answers[edit.edit_id] = answer
        return multiple((edit, self.machine.index))

    @rule(sent=edits, time_s=st.floats(0, 9))
    def resend(self, sent, time_s):
        edit, _ = sent
        first = self.model.answers[edit.edit_id]
        is_stored = edit.base >= self.machine._answers.oldest_base
        version = self.machine.version
        again = self.apply_both(msgspec.structs.replace(edit, time_s=time_s))
        assert self.machine.version == version
        if is_stored:
            assert again == first
        elif isinstance(first, Accepted):
            assert again == first or isinstance(again, TooOld)
        else:
            assert not isinstance(again, Accepted)

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.machine.snapshot()
        self.machine = SettingsMachine()
        self.machine.restore(snapshot)
        assert self.machine.snapshot() == snapshot

    @rule()
    def update_follower(self):
        update = self.machine.encode_changes(self.follower.view.version)
        assert self.follower.apply_update(update) in (
            UpdateResult.NEW,
            UpdateResult.OLD,
        )
        assert self.follower.view.tree == self.machine.tree

    @rule()
    def update_follower_from_peer(self):
        version = self.peer_follower.view.version
        update = self.follower.encode_changes(version)
        result = self.peer_follower.apply_update(update)
        assert (result is UpdateResult.NEW) == (self.follower.view.version > version)
        assert self.peer_follower.view.version >= version

    @invariant()
    def tree_equals_model(self):
        assert self.machine.version == self.model.version
        assert list_values(self.machine.tree) == self.model.values

    def teardown(self):
        assert self.machine.snapshot() == self.replica.snapshot()


@pytest.mark.parametrize(("answers", "history"), [(4, 2), (1_000, 5_000)])
def test_machine_agrees_with_model(monkeypatch, answers, history):
    monkeypatch.setattr(_answers, "ANSWERS_MAX", answers)
    monkeypatch.setattr(_machine, "HISTORY_MAX_EDITS", history)
    case = ConcurrentOperators.TestCase
    case.settings = settings(
        derandomize=True,
        max_examples=120,
        stateful_step_count=40,
        deadline=None,
        database=None,
    )
    case("runTest").runTest()


def test_conflict_lists_changes_since_base(machine):
    base = machine.version
    apply_edit(machine, make_edit("a", base, SetValue("weight", 3)))
    answer = apply_edit(machine, make_edit("b", base, SetValue("weight", 4)))
    assert isinstance(answer, Conflict)
    assert answer.version == machine.version
    assert [(c.path, c.before, c.after) for c in answer.changes] == [
        ("weight", None, 3)
    ]


def test_version_is_journal_index(machine):
    edit = make_edit("a", machine.version, SetValue("weight", 3))
    assert apply_edit(machine, edit, index=40) == Accepted(40)


def test_reused_edit_id_is_refused(machine):
    base = machine.version
    apply_edit(machine, make_edit("a", base, SetValue("weight", 3)))
    answer = apply_edit(machine, make_edit("a", base, SetValue("weight", 4)))
    assert isinstance(answer, Refused)
    assert machine.tree["weight"] == 3


@pytest.mark.parametrize(
    ("path", "value", "problem_path"),
    [
        ("services/ledgr/weight", 3, "services/ledgr"),
        ("services/ledger/kinds/blance/weight", 3, "services/ledger/kinds/blance"),
        ("weight/x", 3, "weight"),
        ("domains//out", True, "domains//out"),
        ("", 3, ""),
        ("services/ledger/weight", 0, "services/ledger/weight"),
    ],
)
def test_set_at_invalid_path_is_refused(machine, path, value, problem_path):
    before = machine.tree
    answer = apply_edit(machine, make_edit("a", machine.version, SetValue(path, value)))
    assert [problem.path for problem in answer.problems] == [problem_path]
    assert machine.tree is before


@pytest.mark.parametrize("command", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_undecodable_command_is_refused(machine, command):
    answer = decode_answer(machine.apply(machine.index + 1, command))
    assert isinstance(answer, Refused)


LIVE = [
    LiveServers("matching", "bxl-a", ["m1"]),
    LiveServers("matching", "bxl-b", ["m2"]),
    LiveServers("ledger", "bxl-a", ["l1", "l2"]),
]


@pytest.mark.parametrize(
    ("path", "live", "lost"),
    [
        ("domains/bxl-a/out", LIVE, [("ledger", ["bxl-a"])]),
        ("domains/bxl-b/out", LIVE, None),
        ("servers/l1/out", LIVE, None),
        ("domains/bxl-b/out", None, []),
        ("domains/bxl-b/out", [], []),
    ],
)
def test_last_domain_needs_force(machine, path, live, lost):
    edit = make_edit("a", machine.version, SetValue(path, True), live=live)
    answer = apply_edit(machine, edit)
    if lost is None:
        assert isinstance(answer, Accepted)
        return
    assert isinstance(answer, ForceNeeded)
    assert [(item.service, item.domains) for item in answer.lost] == lost
    forced = msgspec.structs.replace(edit, edit_id="b", force=True)
    assert isinstance(apply_edit(machine, forced), Accepted)


def test_last_server_of_last_domain_needs_force(machine):
    out = make_edit("a", machine.version, SetValue("servers/l1/out", True), live=LIVE)
    assert isinstance(apply_edit(machine, out), Accepted)
    last = make_edit("b", machine.version, SetValue("servers/l2/out", True), live=LIVE)
    assert isinstance(apply_edit(machine, last), ForceNeeded)


def test_history_records_operator_reason_time_and_changes(machine):
    edit = make_edit(
        "a", machine.version, SetValue("weight", 3), reason="storm", time_s=9.0
    )
    apply_edit(machine, edit)
    entry = read(machine, ReadHistory(limit=1)).entries[0]
    assert (entry.operator, entry.reason, entry.time_s) == ("an", "storm", 9.0)
    assert [(c.path, c.after) for c in entry.changes] == [("weight", 3)]


def test_changes_omit_reverted_values(machine):
    since = machine.version
    apply_edit(machine, make_edit("a", since, SetValue("weight", 3)))
    apply_edit(machine, make_edit("b", machine.version, UnsetValue("weight")))
    apply_edit(machine, make_edit("c", machine.version, SetValue("deadline_ms", 3)))
    changes = read(machine, ReadChanges(since))
    assert [change.path for change in changes.changes] == ["deadline_ms"]
    assert changes.complete


def test_thousand_edits_survive_restarts():
    machine = SettingsMachine()
    for number in range(1_000):
        edit = make_edit(
            f"e{number}", machine.version, SetValue("weight", 1 + number % 9)
        )
        assert isinstance(apply_edit(machine, edit), Accepted)
        if number % 250 == 0:
            snapshot = machine.snapshot()
            machine = SettingsMachine()
            machine.restore(snapshot)
    assert machine.version == 1_000
    assert len(read(machine, ReadHistory(limit=5_000)).entries) == 1_000
