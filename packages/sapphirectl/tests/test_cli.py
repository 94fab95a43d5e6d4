import json
import socket
import sys
import threading

import pytest

from sapphirectl import _draining
from sapphirectl._cli import COMMANDS, main
from sapphirectl._exits import ExitCode
from sapphireway._operator_backend import ChangeRefused, Unavailable
from sapphireway_state import (
    ControlHostsReport,
    ControlHostStatus,
    LiveServers,
    NodeStatus,
    ServerStatus,
    StatusReport,
    parse_yaml,
)

TREE = """\
weight: 20
domains:
  bxl-a: {}
  bxl-b: {}
services:
  ledger:
    kinds:
      balance: {weight: 30}
"""


@pytest.fixture
def run(operator_node, tmp_path, monkeypatch, capsys):
    token_file = tmp_path / "token"
    token_file.write_text(operator_node.token)
    token_file.chmod(0o600)
    monkeypatch.setenv("SAPPHIREWAY_NODES", operator_node.address)
    monkeypatch.setenv("SAPPHIREWAY_TOKEN_FILE", str(token_file))
    monkeypatch.setenv("SAPPHIREWAY_OPERATOR", "an")
    monkeypatch.setattr("time.sleep", lambda seconds: None)

    def run(*arguments):
        with pytest.raises(SystemExit) as exited:
            main(list(arguments))
        printed = capsys.readouterr()
        return exited.value.code, printed.out, printed.err

    return run


@pytest.fixture
def tree(run, tmp_path):
    path = tmp_path / "tree.yaml"
    path.write_text(TREE)
    assert run("settings", "edit", "--file", str(path))[0] == 0
    return path


@pytest.fixture
def closed_address():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{closed.getsockname()[1]}"


def list_commands(commands=COMMANDS, names=()):
    for name, command in commands.items():
        if isinstance(command, dict):
            yield from list_commands(command, (*names, name))
        else:
            yield (*names, name)


@pytest.mark.parametrize("names", list(list_commands()), ids=" ".join)
def test_help_describes_common_options(run, names):
    code, out, _ = run(*names, "--help")
    assert code == 0
    assert "--node" in out and "tried in order" in out


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--version"], ExitCode.OK),
        (["settings", "fly"], ExitCode.USAGE),
        (["settings", "get", "weigth"], ExitCode.REFUSED),
        (["settings", "set", "weight", "0"], ExitCode.REFUSED),
        (["settings", "set", "weight", "[1"], ExitCode.REFUSED),
        (["settings", "unset", "domains/bxl-a/out"], ExitCode.REFUSED),
        (["settings", "set", "weight", "3", "--base", "0"], ExitCode.CONFLICT),
        (["domain", "out", "bxl-b"], ExitCode.FORCE_NEEDED),
        (["domain", "out", "bxl-q"], ExitCode.REFUSED),
        (["server", "out", "nobody"], ExitCode.REFUSED),
        (
            ["settings", "set", "weight", "3", "--token-file", "/"],
            ExitCode.UNAUTHORIZED,
        ),
        (["status", "--node", ","], ExitCode.USAGE),
    ],
)
def test_exit_code_and_unchanged_tree(run, tree, operator_node, arguments, code):
    actual_code, out, err = run(*arguments)
    assert actual_code == code
    assert out if code is ExitCode.OK else err
    assert operator_node.state.machine.version == 1


def test_wrong_token_is_unauthorized(run, tmp_path):
    token_file = tmp_path / "other"
    token_file.write_text("another-token-0123456789")
    token_file.chmod(0o600)
    arguments = ["settings", "set", "weight", "3", "--token-file", str(token_file)]
    assert run(*arguments)[0] == ExitCode.UNAUTHORIZED


def test_set_get_unset_history_diff(run, tree):
    path = "services/ledger/kinds/balance/weight"
    assert run("settings", "set", "services/ledger/weight", "40")[0] == 0
    assert run("settings", "get", path)[1] == "30\n"
    assert run("settings", "unset", path, "--reason", "tidy")[0] == 0
    assert run("settings", "get", path)[1] == "40\n"
    why = run("settings", "get", path, "--why", "--output", "json")[1]
    assert json.loads(why) == [
        {"name": "weight", "value": 40, "node": "services/ledger"}
    ]
    history = json.loads(run("settings", "history", "--output", "json")[1])
    assert [entry["reason"] for entry in history["entries"]] == ["tidy", "", ""]
    table = run("settings", "history")[1]
    assert "services/ledger/kinds/balance/weight: 30 -> unset" in table
    changes = run("settings", "diff", "1", "2", "--output", "yaml")[1]
    [change] = parse_yaml(changes).value["changes"]
    assert (change["path"], change["after"]) == ("services/ledger/weight", 40)


def test_edit_conflict_lists_changes(run, tree):
    run("settings", "set", "weight", "21")
    code, _, err = run("settings", "set", "weight", "22", "--base", "1")
    assert code == ExitCode.CONFLICT
    assert "weight: 20 -> 21" in err


def test_history_table_shortens_many_changes(run, tree):
    table = run("settings", "history")[1]
    assert "domains/bxl-a: unset -> {}" in table
    assert "and 1 more" in table


def test_edit_accepts_output_of_show(run, tree, tmp_path):
    code, out, _ = run("settings", "show")
    assert code == 0 and out.startswith("# version 1\n")
    assert parse_yaml(out).value == parse_yaml(TREE).value
    copy = tmp_path / "copy.yaml"
    copy.write_text(out)
    assert "not changed" in run("settings", "edit", "--file", str(copy))[1]


def test_editor_text_is_kept_when_refused(run, tree, tmp_path, monkeypatch):
    script = tmp_path / "editor.py"
    script.write_text(
        "import sys\nwith open(sys.argv[1], 'a') as f:\n    f.write('weigth: 1\\n')\n"
    )
    monkeypatch.setenv("EDITOR", f"{sys.executable} {script}")
    monkeypatch.delenv("VISUAL", raising=False)
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    code, _, err = run("settings", "edit")
    assert code == ExitCode.REFUSED
    file, line, rest = err.split(":", 2)
    assert "weigth" in open(file).read().splitlines()[int(line) - 1]
    assert "unknown key 'weigth'" in rest


def test_editor_text_is_kept_on_conflict(
    run, tree, tmp_path, monkeypatch, operator_node
):
    script = tmp_path / "editor.py"
    script.write_text(
        "import sys\nt = open(sys.argv[1]).read().replace('20', '22')\n"
        "open(sys.argv[1], 'w').write(t)\n"
    )
    monkeypatch.setenv("VISUAL", f"{sys.executable} {script}")
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    code, _, err = run("settings", "edit", "--base", "0")
    assert code == ExitCode.CONFLICT
    path = err.split("Your text is in ")[1].split(";")[0]
    assert parse_yaml(open(path).read()).value["weight"] == 22
    assert run("settings", "edit", "--file", path)[0] == 0
    assert operator_node.state.machine.tree["weight"] == 22


def test_edit_with_lost_answer_is_resent_with_same_id(run, tree, operator_node):
    operator_node.state.answers_to_lose = 2
    code, out, _ = run("settings", "set", "weight", "21", "--output", "json")
    assert (code, json.loads(out)["version"]) == (0, 2)
    assert operator_node.state.machine.index == 4


def test_edit_with_unknown_outcome_prints_resend_options(run, tree, operator_node):
    operator_node.state.answers_to_lose = 3
    code, _, err = run("settings", "set", "weight", "21")
    assert code == ExitCode.UNKNOWN
    resend = err.split("command with: ")[1].split()
    code, out, _ = run("settings", "set", "weight", "21", *resend)
    assert (code, "version: 2" in out) == (0, True)
    assert operator_node.state.machine.version == 2


def test_other_nodes_are_tried(run, tree, operator_node, closed_address):
    nodes = ["--node", closed_address, "--node", operator_node.address]
    assert run("settings", "set", "weight", "21", *nodes)[0] == 0
    code, _, _ = run("settings", "set", "weight", "22", "--node", closed_address)
    assert code == ExitCode.UNREACHABLE
    code, _, err = run(
        "settings", "set", "weight", "22", "--base", "2", "--node", closed_address
    )
    assert code == ExitCode.UNREACHABLE
    assert "Nothing was changed" in err


def make_report(version, started, in_flight):
    server = ServerStatus(
        "l1", "ledger", "bxl-a", "n1", "out", True, in_flight, 0, 6, started
    )
    nodes = [NodeStatus("n1", "bxl-a", "be", version)]
    nodes += [NodeStatus("n2", "bxl-b", "be", version)]
    nodes += [NodeStatus("gone", "bxl-b", "be", 0, alive=False)]
    return StatusReport(version, nodes, [server])


@pytest.fixture
def live_servers(operator_node):
    operator_node.state.status = make_report(1, 10, 2)
    operator_node.state.live = [
        LiveServers("ledger", "bxl-a", ["l1"]),
        LiveServers("ledger", "bxl-b", ["l2"]),
    ]


def test_domain_out_waits_until_no_new_work_is_seen(
    run, tree, live_servers, operator_node, monkeypatch
):
    reports = [(1, 11, 3), (2, 14, 3), (2, 14, 2), (2, 14, 1), (2, 14, 0), (2, 15, 0)]
    remaining = iter(reports)

    def advance(seconds):
        operator_node.state.status = make_report(*next(remaining))

    monkeypatch.setattr(_draining.time, "sleep", advance)
    code, out, err = run("domain", "out", "bxl-a", "--wait", "--output", "json")
    assert code == 0
    assert json.loads(out)["version"] == 2
    assert "domain bxl-a: 3 new, 3 in flight, 0 of 2 nodes behind version 2" in err
    assert list(remaining) == [(2, 15, 0)]


def test_wait_timeout_has_own_exit_code(run, tree, live_servers):
    arguments = ["domain", "out", "bxl-a", "--wait", "--wait-timeout-s", "2"]
    code, _, err = run(*arguments)
    assert code == ExitCode.WAIT_TIMEOUT
    assert "2 of 2 nodes behind version 2" in err


def test_last_domain_out_needs_force_and_in_reverts_it(
    run, tree, live_servers, operator_node
):
    machine = operator_node.state.machine
    assert run("domain", "out", "bxl-a")[0] == 0
    code, _, err = run("domain", "out", "bxl-b")
    assert code == ExitCode.FORCE_NEEDED
    assert "ledger, now in bxl-b" in err
    assert run("domain", "out", "bxl-b", "--force")[0] == 0
    assert run("domain", "in", "bxl-a")[0] == 0
    assert machine.tree["domains"] == {"bxl-a": {"out": False}, "bxl-b": {"out": True}}
    version = machine.version
    assert "is in already" in run("domain", "in", "bxl-a")[2]
    assert machine.version == version


def test_server_in_removes_server_from_tree(run, tree, live_servers, operator_node):
    machine = operator_node.state.machine
    assert run("server", "out", "l1")[0] == 0
    assert machine.tree["servers"] == {"l1": {"out": True}}
    assert "is out already" in run("server", "out", "l1")[2]
    assert run("server", "in", "l1")[0] == 0
    assert machine.tree["servers"] == {}


def test_status_explain_and_trace_print_tables(run, tree, live_servers, operator_node):
    operator_node.state.explanations = [
        {"time": 1e6, "service": "ledger", "reason": "cold"}
    ]
    operator_node.state.traces = [{"trace": "t1", "name": "entry"}]
    code, out, _ = run("status")
    assert code == 0
    assert "Latest version: 1" in out and "BEHIND" in out and "l1" in out
    table = run("explain", "--service", "ledger")[1]
    assert "1970-01-12T13:46:40Z" in table and "cold" in table
    assert run("explain", "--service", "none")[1] == "(none)\n"
    assert "entry" in run("trace", "t1")[1]
    assert json.loads(run("status", "--output", "json")[1])["version"] == 1


def test_edit_is_unknown_when_node_closes_connection(run, tree):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        stop = threading.Event()

        def hang_up():
            while not stop.is_set():
                connection, _ = listener.accept()
                connection.recv(1)
                connection.close()

        thread = threading.Thread(target=hang_up, daemon=True)
        thread.start()
        arguments = ["--base", "1", "--node", address]
        code, _, err = run("settings", "set", "weight", "3", *arguments)
        stop.set()
        socket.create_connection(listener.getsockname()).close()
        thread.join(5)
    assert code == ExitCode.UNKNOWN
    assert "may have been accepted" in err


def test_control_hosts_are_listed_and_changed(run, operator_node):
    state = operator_node.state
    host = ControlHostStatus("127.0.0.1:7100", "voter", True, "leader", 3, 9, 9, "ok")
    state.control_hosts = ControlHostsReport([host], host.address, "c1")
    code, out, _ = run("control", "list")
    assert code == 0 and "Leader: 127.0.0.1:7100; cluster: c1" in out
    assert "ADDRESS" in out and "voter" in out
    assert run("control", "add", "127.0.0.4:7100", "--reason", "moves")[0] == 0
    assert run("control", "remove", "127.0.0.1:7100", "--force")[0] == 0
    added, removed = state.changes
    assert (added.operator, added.add, added.reason) == (
        "an",
        ["127.0.0.4:7100"],
        "moves",
    )
    assert (removed.remove, removed.force) == (["127.0.0.1:7100"], True)


@pytest.mark.parametrize(
    ("result", "code", "message"),
    [
        (ChangeRefused("no such host"), ExitCode.REFUSED, "no such host"),
        (ChangeRefused("few", True), ExitCode.FORCE_NEEDED, "Repeat with --force"),
        (Unavailable("none"), ExitCode.UNREACHABLE, "Nothing was changed"),
        (Unavailable("lost", True), ExitCode.UNKNOWN, "see `control list`"),
    ],
)
def test_control_hosts_change_failure(run, operator_node, result, code, message):
    operator_node.state.change_result = result
    actual_code, _, err = run("control", "remove", "127.0.0.4:7100")
    assert actual_code == code and message in err


def test_control_hosts_change_needs_token(run, tmp_path):
    other = tmp_path / "other"
    other.write_text("another-token-123456")
    other.chmod(0o600)
    arguments = ("control", "add", "127.0.0.4:7100", "--token-file", str(other))
    assert run(*arguments)[0] == ExitCode.UNAUTHORIZED


def test_rollout_is_started_and_shown(run, operator_node):
    code, out, _ = run("rollout", "start", "ledger", "v2", "--duration-s", "12")
    assert code == 0 and "v2" in out
    assert run("rollout", "start", "ledger", "v2", "--duration-s", "12")[0] == 0
    code, out, _ = run("rollout", "status", "ledger")
    assert code == 0 and "running" in out and "12 s" in out
    code, out, _ = run("rollout", "status", "ledger", "--output", "json")
    assert json.loads(out)["version"] == "v2"


def test_rollout_refusals_have_distinct_exit_codes(run, operator_node):
    run("rollout", "start", "ledger", "v2", "--duration-s", "12")
    start = ("rollout", "start", "ledger", "v3", "--duration-s")
    assert run(*start, "12")[0] == ExitCode.CONFLICT
    assert run(*start, "0")[0] == ExitCode.REFUSED
    assert run("rollout", "status", "other")[0] == ExitCode.REFUSED
    operator_node.control.unavailable = True
    assert run("rollout", "status", "ledger")[0] == ExitCode.UNREACHABLE
