"""Commands that report status, routing decisions and traces."""

from pathlib import Path
from typing import Any

from sapphirectl._client import fetch
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import Connection, add_options, read_connection
from sapphirectl._output import (
    format_table,
    format_time,
    print_message,
    print_result,
    report_failure,
)
from sapphirectl._timelines import build_timeline, read_logs
from sapphireway_state import (
    SettingsReply,
    StatusReport,
    list_out_of_service,
    summarize_domains,
)


@add_options(read_connection)
def show_status(connection: Connection):
    """Print failure domains, nodes, servers and the versions in force."""
    report = fetch(connection, "/v1/status", StatusReport)
    if isinstance(report, Failure):
        return report_failure(report)
    if connection.output != "table":
        return print_result(report, connection.output)
    tree = fetch(connection, "/v1/settings", SettingsReply, local=1)
    domains_out = set()
    if isinstance(tree, SettingsReply):
        domains_out = list_out_of_service(tree.value or {}, "domains")
    print(f"Latest version: {report.version}; leader: {report.leader or 'unknown'}")
    _print_table("Domains", summarize_domains(report, domains_out))
    _print_table("Nodes", _add_versions_behind(report))
    _print_table("Servers", report.servers)
    return ExitCode.OK


@add_options(read_connection)
def show_explanations(
    connection: Connection,
    request: str | None = None,
    *,
    logs: list[Path] | None = None,
    service: str | None = None,
    server: str | None = None,
    call: str | None = None,
):
    """Print recent decisions of the node and their reasons, newest last.

    With --logs no node is queried: the command prints how the request ended and why
    on one line, then the log lines about it in order of time.

    Parameters
    ----------
    request : str
        Only decisions on this request; same as --call.
    logs : list of Path
        Log files with the standard output of processes.
    service : str
        Only decisions on this service.
    server : str
        Only decisions on this server.
    call : str
        Only decisions on this call id.
    """
    if logs:
        return _explain_from_logs(request or call, logs)
    rows = fetch(
        connection,
        "/v1/explanations",
        list[dict[str, Any]],
        service=service,
        server=server,
        call=request or call,
    )
    if isinstance(rows, Failure):
        return report_failure(rows)
    if connection.output == "table":
        rows = [_format_explanation(row) for row in rows]
    return print_result(rows, connection.output)


@add_options(read_connection)
def show_traces(connection: Connection, trace: str | None = None, *, limit: int = 20):
    """Print recent spans of the node, newest last.

    Parameters
    ----------
    trace : str
        Only spans of this trace id.
    limit : int
        Maximum number of spans.
    """
    spans = fetch(
        connection, "/v1/traces", list[dict[str, Any]], trace=trace, limit=limit
    )
    if isinstance(spans, Failure):
        return report_failure(spans)
    return print_result(spans, connection.output)


def _explain_from_logs(request, files):
    if request is None:
        return report_failure(
            Failure(ExitCode.USAGE, "--logs needs the id of a request")
        )
    try:
        logs = read_logs(files)
    except OSError as error:
        return report_failure(
            Failure(ExitCode.REFUSED, f"{error.filename}: {error.strerror}")
        )
    if logs.unreadable:
        print_message(f"skipped {logs.unreadable} lines that are not log lines")
    if logs.suppressed:
        print_message(
            f"the processes dropped {logs.suppressed} lines, perhaps of this request"
        )
    timeline = build_timeline(logs, request)
    if timeline is None:
        detail = f"no line names request {request}; requests answered at their first "
        return report_failure(
            Failure(ExitCode.REFUSED, detail + "attempt are not logged")
        )
    print("\n".join([f"{request}: {timeline.cause}", *timeline.rows]))
    return ExitCode.OK


def _format_explanation(row):
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


def _add_versions_behind(report):
    rows = [_to_row(node) for node in report.nodes]
    for row in rows:
        row["behind"] = max(0, report.version - row["version"])
    return rows
