"""Commands that take failure domains and servers out of service and back in."""

import time

from sapphirectl._client import fetch, read_tree, submit_edit
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import (
    Connection,
    EditOptions,
    add_options,
    read_connection,
    read_edit_options,
)
from sapphirectl._output import print_message, print_result, report_failure
from sapphirectl._waiting import Target, wait_until_idle, wait_until_in_force
from sapphireway_state import SetValue, StatusReport, UnsetValue, list_out_of_service


@add_options(read_connection, read_edit_options)
def take_domain_out(
    connection: Connection,
    options: EditOptions,
    domain: str,
    *,
    force: bool = False,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Take a failure domain out of service; requests in flight there complete.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    force : bool
        Do so even if a service loses its last failure domain, or the name is
        unknown.
    wait : bool
        Show progress until no new work arrives there.
    wait_timeout_s : float
        Timeout of the wait in seconds.
    """
    target = Target("domain", domain)
    return _take_out(connection, options, target, force, wait, wait_timeout_s)


@add_options(read_connection, read_edit_options)
def take_domain_in(
    connection: Connection,
    options: EditOptions,
    domain: str,
    *,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Put a failure domain back in service; its servers start cold.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    wait : bool
        Show progress until the change is in force on every node.
    wait_timeout_s : float
        Timeout of the wait in seconds.
    """
    target = Target("domain", domain)
    return _take_in(connection, options, target, wait, wait_timeout_s)


@add_options(read_connection, read_edit_options)
def take_server_out(
    connection: Connection,
    options: EditOptions,
    server: str,
    *,
    force: bool = False,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Take a server out of service; requests in flight there complete.

    Parameters
    ----------
    server : str
        Id of the server.
    force : bool
        Do so even if a service loses its last failure domain, or the id is
        unknown.
    wait : bool
        Show progress until no new work arrives there.
    wait_timeout_s : float
        Timeout of the wait in seconds.
    """
    target = Target("server", server)
    return _take_out(connection, options, target, force, wait, wait_timeout_s)


@add_options(read_connection, read_edit_options)
def take_server_in(
    connection: Connection,
    options: EditOptions,
    server: str,
    *,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Put a server back in service; it starts cold.

    Parameters
    ----------
    server : str
        Id of the server.
    wait : bool
        Show progress until the change is in force on every node.
    wait_timeout_s : float
        Timeout of the wait in seconds.
    """
    target = Target("server", server)
    return _take_in(connection, options, target, wait, wait_timeout_s)


def _take_out(connection, options, target, force, wait, wait_timeout_s):
    current = read_tree(connection)
    if isinstance(current, Failure):
        return report_failure(current)
    if not force:
        failure = _check_known(connection, current.value, target)
        if failure is not None:
            return report_failure(failure)
    version = current.version
    if (
        target.name in list_out_of_service(current.value, target.level)
        and options.base is None
    ):
        print_message(f"{target.describe()} is out already")
    else:
        operation = SetValue(f"{target.level}/{target.name}/out", True)
        base = version if options.base is None else options.base
        answer = submit_edit(connection, options, base, [operation], force=force)
        if isinstance(answer, Failure):
            return report_failure(answer)
        version = answer.version
    if wait:
        wait_failure = wait_until_idle(
            connection, target, version, wait_timeout_s, time.sleep
        )
        if isinstance(wait_failure, Failure):
            return report_failure(wait_failure)
    return _print_target(connection, options, target, version, out=True)


def _take_in(connection, options, target, wait, wait_timeout_s):
    current = read_tree(connection)
    if isinstance(current, Failure):
        return report_failure(current)
    version = current.version
    is_out = target.name in list_out_of_service(current.value, target.level)
    if not is_out and options.base is None:
        print_message(f"{target.describe()} is in already")
    else:
        base = version if options.base is None else options.base
        answer = submit_edit(connection, options, base, [_make_in_operation(target)])
        if isinstance(answer, Failure):
            return report_failure(answer)
        version = answer.version
    if wait:
        wait_failure = wait_until_in_force(
            connection, version, wait_timeout_s, time.sleep
        )
        if isinstance(wait_failure, Failure):
            return report_failure(wait_failure)
    return _print_target(connection, options, target, version, out=False)


def _make_in_operation(target):
    if target.level == "servers":
        # Servers are replaced often; the tree must not accumulate their ids.
        return UnsetValue(f"servers/{target.name}")
    return SetValue(f"domains/{target.name}/out", False)


def _check_known(connection, tree, target):
    if target.name in tree.get(target.level, {}):
        return None
    report = fetch(connection, "/v1/status", StatusReport)
    if isinstance(report, Failure):
        return report
    names = {getattr(server, target.kind) for server in report.servers}
    if target.kind == "domain":
        names |= {node.domain for node in report.nodes}
    if target.name in names:
        return None
    known = ", ".join(sorted(names)) or "none"
    detail = f"unknown {target.kind} {target.name!r}; known: {known}"
    return Failure(ExitCode.REFUSED, detail)


def _print_target(connection, options, target, version, out):
    result = {
        target.kind: target.name,
        "out": out,
        "version": version,
        "edit_id": options.edit_id,
    }
    return print_result(result, connection.output)
