"""Commands that tell what the system does."""

from typing import Any

from sapphirectl._client import ask
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import Connection, add_options, connect
from sapphirectl._output import fail, format_table, format_time, show
from sapphireway_state import (
    SettingsReply,
    StatusReport,
    list_out,
    sum_domains,
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
        domains_out = list_out(tree.value or {}, "domains")
    print(f"Latest version: {report.version}; leader: {report.leader or 'unknown'}")
    _print_table("Domains", sum_domains(report, domains_out))
    _print_table("Nodes", _mark_behind(report))
    _print_table("Servers", report.servers)
    return ExitCode.OK


@add_options(connect)
def show_explanations(
    connection: Connection,
    *,
    service: str | None = None,
    server: str | None = None,
    call: str | None = None,
):
    """Print recent decisions of the node with their reasons, newest first.

    Parameters
    ----------
    service : str
        Only decisions on this service.
    server : str
        Only decisions on this server.
    call : str
        Only decisions on this call id.
    """
    rows = ask(
        connection,
        "/v1/explanations",
        list[dict[str, Any]],
        service=service,
        server=server,
        call=call,
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
