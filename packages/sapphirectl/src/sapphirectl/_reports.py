"""Commands that tell what the system does."""

from pathlib import Path
from typing import Any

from sapphirectl._client import ask
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import Connection, add_options, connect
from sapphirectl._output import fail, format_table, format_time, show, tell
from sapphirectl._stories import read_logs, tell_story
from sapphireway_state import (
    SettingsReply,
    StatusReport,
    list_out_of_service,
    summarize_domains,
)


@add_options(connect)
def show_status(connection: Connection):
    """Print nodes, servers, failure domains and the versions in force."""
    report = ask(connection, "/v1/status", StatusReport)
    if isinstance(report, Failure):
        return fail(report)
    if connection.output != "table":
        return show(report, connection.output)
    tree = ask(connection, "/v1/settings", SettingsReply, local=1)
    domains_out = set()
    if isinstance(tree, SettingsReply):
        domains_out = list_out_of_service(tree.value or {}, "domains")
    print(f"Latest version: {report.version}; leader: {report.leader or 'unknown'}")
    _print_table("Domains", summarize_domains(report, domains_out))
    _print_table("Nodes", _mark_behind(report))
    _print_table("Servers", report.servers)
    return ExitCode.OK


@add_options(connect)
def show_explanations(
    connection: Connection,
    request: str | None = None,
    *,
    logs: list[Path] | None = None,
    service: str | None = None,
    server: str | None = None,
    call: str | None = None,
):
    """Print recent decisions of the node with their reasons, newest first.

    With --logs no node is asked: what the files tell of the request is printed in
    order, after one line with its cause.

    Parameters
    ----------
    request : str
        Only decisions on this request; the same as --call.
    logs : list of Path
        Files with the standard output of processes.
    service : str
        Only decisions on this service.
    server : str
        Only decisions on this server.
    call : str
        Only decisions on this call id.
    """
    if logs:
        return _explain_from_logs(request or call, logs)
    rows = ask(
        connection,
        "/v1/explanations",
        list[dict[str, Any]],
        service=service,
        server=server,
        call=request or call,
    )
    if isinstance(rows, Failure):
        return fail(rows)
    if connection.output == "table":
        rows = [_format_row(row) for row in rows]
    return show(rows, connection.output)


@add_options(connect)
def show_traces(connection: Connection, trace: str | None = None, *, limit: int = 20):
    """Print recent spans of the node, newest first.

    Parameters
    ----------
    trace : str
        Only spans of this trace id.
    limit : int
        Number of spans.
    """
    spans = ask(
        connection, "/v1/traces", list[dict[str, Any]], trace=trace, limit=limit
    )
    if isinstance(spans, Failure):
        return fail(spans)
    return show(spans, connection.output)


def _explain_from_logs(request, files):
    if request is None:
        return fail(Failure(ExitCode.USAGE, "--logs needs the id of a request"))
    try:
        logs = read_logs(files)
    except OSError as error:
        return fail(Failure(ExitCode.REFUSED, f"{error.filename}: {error.strerror}"))
    if logs.unreadable:
        tell(f"{logs.unreadable} lines are no log lines and were passed over")
    if logs.suppressed:
        tell(f"the processes dropped {logs.suppressed} lines; some may be of interest")
    story = tell_story(logs, request)
    if story is None:
        detail = f"no line names request {request}; a request that was answered at its "
        return fail(Failure(ExitCode.REFUSED, detail + "first attempt leaves none"))
    print("\n".join([f"{request}: {story.cause}", *story.rows]))
    return ExitCode.OK


def _format_row(row):
    time_s = row.get("time")
    if not isinstance(time_s, (int, float)):
        return row
    return row | {"time": format_time(time_s)}


def _print_table(title, rows):
    print(f"\n{title}")
    print(format_table([_to_row(row) for row in rows]))


def _to_row(row):
    if isinstance(row, dict):
        return row
    return {name: getattr(row, name) for name in row.__struct_fields__}


def _mark_behind(report):
    rows = [_to_row(node) for node in report.nodes]
    for row in rows:
        row["behind"] = max(0, report.version - row["version"])
    return rows
