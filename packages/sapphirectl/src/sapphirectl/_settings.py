"""Commands that read and change the settings tree."""

import os
import shlex
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from sapphirectl._client import fetch, format_change, read_tree, submit_edit
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import (
    Connection,
    EditOptions,
    add_options,
    read_connection,
    read_edit_options,
)
from sapphirectl._output import format_time, print_message, print_result, report_failure
from sapphireway_state import (
    Changes,
    History,
    Invalid,
    SettingsReply,
    SetValue,
    UnsetValue,
    dump_yaml,
    format_problem,
    list_operations,
    parse_tree,
    parse_yaml,
)

CHANGES_PER_ROW_MAX = 3


@add_options(read_connection)
def show_settings(connection: Connection, *, local: bool = False):
    """Print the whole settings tree with its version.

    Parameters
    ----------
    local : bool
        Print the version in force at the node instead of the latest one.
    """
    reply = fetch(connection, "/v1/settings", SettingsReply, local=int(local))
    if isinstance(reply, Failure):
        return report_failure(reply)
    tree = reply.value or {}
    if connection.output == "table":
        print(f"# version {reply.version}")
        print(dump_yaml(tree).rstrip("\n"))
        return ExitCode.OK
    return print_result({"version": reply.version, "tree": tree}, connection.output)


@add_options(read_connection)
def get_setting(connection: Connection, path: str, *, why: bool = False):
    """Print the settings in force at a path of the tree.

    Parameters
    ----------
    path : str
        Path of a tree node or a setting, such as services/ledger/kinds/balance/weight
        or domains/bxl-a/services/ledger.
    why : bool
        Show the tree node that sets each value.
    """
    reply = fetch(connection, "/v1/settings", SettingsReply, path=path)
    if isinstance(reply, Failure):
        return report_failure(reply)
    sources = msgspec.to_builtins(reply.sources)
    if not sources:
        return print_result(reply.value, connection.output)
    for source in sources:
        source["node"] = source["node"] or "(root)"
        if not why:
            del source["node"]
    if len(sources) == 1 and not why:
        return print_result(sources[0]["value"], connection.output)
    return print_result(sources, connection.output)


@add_options(read_connection, read_edit_options)
def set_setting(
    connection: Connection,
    options: EditOptions,
    path: str,
    value: str,
    *,
    force: bool = False,
):
    """Set a value or a whole node of the tree.

    Parameters
    ----------
    path : str
        Path of the value or node.
    value : str
        The value as YAML, such as 5, true or '{match: {paths: [/a]}}'.
    force : bool
        Do so even if a service loses its last failure domain.
    """
    document = parse_yaml(value, "value")
    if isinstance(document, Invalid):
        return report_failure(_make_refusal(document))
    return _submit_operations(
        connection, options, [SetValue(path, document.value)], force
    )


@add_options(read_connection, read_edit_options)
def unset_setting(
    connection: Connection, options: EditOptions, path: str, *, force: bool = False
):
    """Remove a value or node, so that it is inherited again.

    Parameters
    ----------
    path : str
        Path of the value or node.
    force : bool
        Do so even if a service loses its last failure domain.
    """
    return _submit_operations(connection, options, [UnsetValue(path)], force)


@add_options(read_connection, read_edit_options)
def edit_settings(
    connection: Connection,
    options: EditOptions,
    *,
    file: str | None = None,
    force: bool = False,
):
    """Edit the whole tree in $EDITOR, or replace it by the tree in a file.

    Parameters
    ----------
    file : str
        File with the new tree; default: edit the current one in $EDITOR.
    force : bool
        Do so even if a service loses its last failure domain.
    """
    current = read_tree(connection)
    if isinstance(current, Failure):
        return report_failure(current)
    path = file or _open_editor(current)
    if isinstance(path, Failure):
        return report_failure(path)
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return report_failure(Failure(ExitCode.REFUSED, f"{path}: {error}"))
    document = parse_tree(text, path)
    if isinstance(document, Invalid):
        return report_failure(_make_refusal(document))
    operations = list_operations(current.value, document.value)
    if not operations:
        return print_result("The tree has not changed.", "table")
    base = current.version if options.base is None else options.base
    code = _submit(connection, options, base, operations, force)
    if file:
        return code
    if code is ExitCode.OK:
        os.unlink(path)
    else:
        print_message(f"Your text is in {path}; send it with --file.")
    return code


@add_options(read_connection)
def show_history(connection: Connection, *, limit: int = 20, before: int = 0):
    """Print accepted edits, newest first, with operator, time, changes and reason.

    Parameters
    ----------
    limit : int
        Maximum number of edits.
    before : int
        Only edits before this version; 0 for all.
    """
    history = fetch(connection, "/v1/history", History, limit=limit, before=before)
    if isinstance(history, Failure):
        return report_failure(history)
    if connection.output != "table":
        return print_result(history, connection.output)
    rows = [
        {
            "version": entry.version,
            "when": format_time(entry.time_s),
            "operator": entry.operator,
            "what": _summarize_changes(entry.changes),
            "reason": entry.reason,
            "edit_id": entry.edit_id,
        }
        for entry in history.entries
    ]
    return print_result(rows, "table")


@add_options(read_connection)
def show_changes(connection: Connection, since: int, until: int = 0):
    """Print the changes between two versions.

    Parameters
    ----------
    since : int
        Earlier version.
    until : int
        Later version; 0 for the current one.
    """
    changes = fetch(connection, "/v1/changes", Changes, since=since, until=until)
    if isinstance(changes, Failure):
        return report_failure(changes)
    if not changes.complete:
        print(f"The history does not reach back to {since}.", file=sys.stderr)
    return print_result(
        changes.changes if connection.output == "table" else changes,
        connection.output,
    )


def _submit_operations(connection, options, operations, force):
    base = options.base
    if base is None:
        current = read_tree(connection)
        if isinstance(current, Failure):
            return report_failure(current)
        base = current.version
    return _submit(connection, options, base, operations, force)


def _submit(connection, options, base, operations, force):
    answer = submit_edit(connection, options, base, operations, force=force)
    if isinstance(answer, Failure):
        return report_failure(answer)
    result = {"version": answer.version, "edit_id": options.edit_id}
    return print_result(result, connection.output)


def _make_refusal(invalid):
    lines = map(format_problem, invalid.problems)
    return Failure(ExitCode.REFUSED, "\n".join(lines))


def _open_editor(current):
    editor = os.environ.get("VISUAL") or os.environ.get("EDITOR")
    if not editor:
        detail = "set $EDITOR, or pass the new tree with --file"
        return Failure(ExitCode.USAGE, detail)
    handle, path = tempfile.mkstemp(f"-version-{current.version}.yaml", "settings-")
    with open(handle, "w") as target:
        target.write(dump_yaml(current.value))
    result = subprocess.run([*shlex.split(editor), path], check=False)
    if result.returncode:
        detail = f"the editor exited with {result.returncode}; your text is in {path}"
        return Failure(ExitCode.REFUSED, detail)
    return path


def _summarize_changes(changes):
    shown = [format_change(change).strip() for change in changes[:CHANGES_PER_ROW_MAX]]
    if len(changes) > CHANGES_PER_ROW_MAX:
        shown.append(f"and {len(changes) - CHANGES_PER_ROW_MAX} more")
    return "; ".join(shown)
