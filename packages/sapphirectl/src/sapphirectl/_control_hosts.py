"""Commands that list and change the control hosts."""

from sapphirectl._client import fetch, submit_control_change
from sapphirectl._exits import Failure
from sapphirectl._options import (
    Authority,
    Connection,
    add_options,
    read_authority,
    read_connection,
)
from sapphirectl._output import print_result, report_failure
from sapphireway_state import ControlHostsChange, ControlHostsReport


@add_options(read_connection)
def list_control_hosts(connection: Connection):
    """Print the control hosts with their roles, log positions and errors."""
    return _print_report(
        connection, fetch(connection, "/v1/control-hosts", ControlHostsReport)
    )


@add_options(read_connection, read_authority)
def add_control_host(connection: Connection, authority: Authority, address: str):
    """Add a control host; it votes once it has joined and caught up.

    Parameters
    ----------
    address : str
        Node address of the new host, host:port.
    """
    change = ControlHostsChange(
        authority.operator, add=[address], reason=authority.reason
    )
    return _submit_change(connection, authority, change)


@add_options(read_connection, read_authority)
def remove_control_host(
    connection: Connection,
    authority: Authority,
    address: str,
    *,
    force: bool = False,
):
    """Remove a control host; refused if no quorum would answer without it.

    Parameters
    ----------
    address : str
        Node address of the host, host:port.
    force : bool
        Remove it even if fewer than three voters are left.
    """
    change = ControlHostsChange(
        authority.operator,
        remove=[address],
        reason=authority.reason,
        force=force,
    )
    return _submit_change(connection, authority, change)


def _submit_change(connection, authority, change):
    result = submit_control_change(connection, authority.token_file, change)
    return _print_report(connection, result)


def _print_report(connection, report):
    if isinstance(report, Failure):
        return report_failure(report)
    if connection.output != "table":
        return print_result(report, connection.output)
    leader, cluster = report.leader or "unknown", report.cluster_id or "unknown"
    print(f"Leader: {leader}; cluster: {cluster}\n")
    return print_result(report.hosts, connection.output)
