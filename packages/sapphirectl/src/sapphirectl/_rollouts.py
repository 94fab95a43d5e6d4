"""Commands that order rollouts and show them."""

import urllib.parse

from sapphirectl._client import fetch, submit_rollout
from sapphirectl._exits import Failure
from sapphirectl._options import (
    Authority,
    Connection,
    add_options,
    read_authority,
    read_connection,
)
from sapphirectl._output import print_result, report_failure
from sapphireway_state import RolloutRequest, RolloutStatus

MS_PER_S = 1000.0


@add_options(read_connection, read_authority)
def start_rollout(
    connection: Connection,
    authority: Authority,
    service: str,
    version: str,
    *,
    duration_s: float,
):
    """Move the requests of a service to servers of a new version.

    Parameters
    ----------
    service : str
        Name of the service.
    version : str
        Version that the new servers announce.
    duration_s : float
        Time in seconds within which all requests are to be moved, or moved back.
    """
    request = RolloutRequest(
        service, version, duration_s * MS_PER_S, authority.operator, authority.reason
    )
    result = submit_rollout(connection, authority.token_file, request)
    if isinstance(result, Failure):
        return report_failure(result)
    return print_result(result, connection.output)


@add_options(read_connection)
def show_rollout(connection: Connection, service: str):
    """Print the last rollout of a service and the evidence behind each step.

    Parameters
    ----------
    service : str
        Name of the service.
    """
    path = f"/v1/rollouts/{urllib.parse.quote(service, safe='')}"
    status = fetch(connection, path, RolloutStatus)
    if isinstance(status, Failure):
        return report_failure(status)
    if connection.output != "table":
        return print_result(status, connection.output)
    print(
        f"Version {status.version} of {status.service}: {status.state}, "
        f"share {status.share:.0%}, ordered for {status.duration_s:g} s\n"
    )
    return print_result(status.steps, connection.output)
