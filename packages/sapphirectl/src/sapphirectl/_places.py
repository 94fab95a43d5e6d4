"""Commands that take failure domains and servers out of service and back in."""

import time

from sapphirectl._client import ask, read_tree, submit_edit
from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import (
    Connection,
    EditOptions,
    add_options,
    connect,
    identify,
)
from sapphirectl._output import fail, show, tell
from sapphirectl._waiting import Target, wait_until_idle, wait_until_in_force
from sapphireway_state import SetValue, StatusReport, UnsetValue, list_out_of_service


@add_options(connect, identify)
def take_domain_out(
    connection: Connection,
    options: EditOptions,
    domain: str,
    *,
    force: bool = False,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Give a failure domain no new work; requests in flight there end.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    force : bool
        Even if a service loses its last failure domain, or nobody knows the name.
    wait : bool
        Show progress until no new work is seen there.
    wait_timeout_s : float
        Longest wait in seconds.
    """
    target = Target("domain", domain)
    return _take_out(connection, options, target, force, wait, wait_timeout_s)


@add_options(connect, identify)
def take_domain_in(
    connection: Connection,
    options: EditOptions,
    domain: str,
    *,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Give a failure domain work again; its servers begin cold.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    wait : bool
        Show progress until every node has the change in force.
    wait_timeout_s : float
        Longest wait in seconds.
    """
    target = Target("domain", domain)
    return _take_in(connection, options, target, wait, wait_timeout_s)


@add_options(connect, identify)
def take_server_out(
    connection: Connection,
    options: EditOptions,
    server: str,
    *,
    force: bool = False,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Give one server no new work; requests in flight there end.

    Parameters
    ----------
    server : str
        Id of the server.
    force : bool
        Even if a service loses its last failure domain, or nobody knows the id.
    wait : bool
        Show progress until no new work is seen there.
    wait_timeout_s : float
        Longest wait in seconds.
    """
    target = Target("server", server)
    return _take_out(connection, options, target, force, wait, wait_timeout_s)


@add_options(connect, identify)
def take_server_in(
    connection: Connection,
    options: EditOptions,
    server: str,
    *,
    wait: bool = False,
    wait_timeout_s: float = 60.0,
):
    """Give one server work again; it begins cold.

    Parameters
    ----------
    server : str
        Id of the server.
    wait : bool
        Show progress until every node has the change in force.
    wait_timeout_s : float
        Longest wait in seconds.
    """
    target = Target("server", server)
    return _take_in(connection, options, target, wait, wait_timeout_s)


def _take_out(connection, options, target, force, wait, wait_timeout_s):
    current = read_tree(connection)
    if isinstance(current, Failure):
        return fail(current)
    if not force:
        unknown = _find_unknown(connection, current.value, target)
        if unknown is not None:
            return fail(unknown)
    version = current.version
    if (
        target.name in list_out_of_service(current.value, target.level)
        and options.base is None
    ):
        tell(f"{target.describe()} is out already")
    else:
        operation = SetValue(f"{target.level}/{target.name}/out", True)
        base = version if options.base is None else options.base
        answer = submit_edit(connection, options, base, [operation], force=force)
        if isinstance(answer, Failure):
            return fail(answer)
        version = answer.version
    if wait:
        waited = wait_until_idle(
            connection, target, version, wait_timeout_s, time.sleep
        )
        if isinstance(waited, Failure):
            return fail(waited)
    return _show_place(connection, options, target, version, out=True)


def _take_in(connection, options, target, wait, wait_timeout_s):
    current = read_tree(connection)
    if isinstance(current, Failure):
        return fail(current)
    version = current.version
    is_out = target.name in list_out_of_service(current.value, target.level)
    if not is_out and options.base is None:
        tell(f"{target.describe()} is in already")
    else:
        base = version if options.base is None else options.base
        answer = submit_edit(connection, options, base, [_build_in(target)])
        if isinstance(answer, Failure):
            return fail(answer)
        version = answer.version
    if wait:
        waited = wait_until_in_force(connection, version, wait_timeout_s, time.sleep)
        if isinstance(waited, Failure):
            return fail(waited)
    return _show_place(connection, options, target, version, out=False)


def _build_in(target):
    if target.level == "servers":
        # Servers come and go; the tree should not collect their names.
        return UnsetValue(f"servers/{target.name}")
    return SetValue(f"domains/{target.name}/out", False)


def _find_unknown(connection, tree, target):
    if target.name in tree.get(target.level, {}):
        return None
    report = ask(connection, "/v1/status", StatusReport)
    if isinstance(report, Failure):
        return report
    names = {getattr(server, target.kind) for server in report.servers}
    if target.kind == "domain":
        names |= {node.domain for node in report.nodes}
    if target.name in names:
        return None
    known = ", ".join(sorted(names)) or "none"
    detail = f"no {target.kind} {target.name!r} is known; known: {known}"
    return Failure(ExitCode.REFUSED, detail)


def _show_place(connection, options, target, version, out):
    result = {
        target.kind: target.name,
        "out": out,
        "version": version,
        "edit_id": options.edit_id,
    }
    return show(result, connection.output)
