"""HTTP requests to the admin address of a node."""

import http.client
import ipaddress
from dataclasses import dataclass

RESPONSE_MAX_BYTES = 64 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Response:
    """Complete response of a node."""

    status: int
    body: bytes


@dataclass(slots=True, frozen=True)
class NoResponse:
    """Request without a complete response.

    Attributes
    ----------
    detail : str
    sent : bool
        Whether the node may have received the request.
    """

    detail: str
    sent: bool


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    token: str | None,
    timeout_s: float,
) -> Response | NoResponse:
    """Send one request to a node, bypassing any proxy."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        return NoResponse(f"{address}: not host:port", sent=False)
    connection = http.client.HTTPConnection(
        _strip_brackets(host), int(port), timeout=timeout_s
    )
    sent = False
    try:
        connection.connect()
        sent = True
        connection.request(method, path, body, _make_headers(token))
        response = connection.getresponse()
        has_end = response.chunked or response.length is not None
        content = response.read(RESPONSE_MAX_BYTES)
        # `read` with a limit reports no error if the connection ends early.
        if not has_end or response.length:
            return NoResponse(f"{address}: the response is incomplete", sent)
    except (OSError, http.client.HTTPException) as error:
        return NoResponse(f"{address}: {error or type(error).__name__}", sent)
    finally:
        connection.close()
    return Response(response.status, content)


def _make_headers(token):
    headers = {"Accept": "application/json", "Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    return headers


def _strip_brackets(host):
    try:
        return str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        return host
