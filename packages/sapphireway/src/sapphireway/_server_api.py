"""HTTP interface for the local server of a node."""

from typing import Annotated

import msgspec
import tornado.web

from sapphireway_coordination import AnnounceAccepted, Announcement, Gate
from sapphireway_protocol import DECODE_ERRORS

SERVER_PATH = r"/server/([A-Za-z0-9._-]{1,64})"
BODY_MAX_BYTES = 4096

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_Url = Annotated[str, msgspec.Meta(pattern=r"^http://[^/?#\s]+$", max_length=256)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class AnnounceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of an announcement.

    Attributes
    ----------
    service : str
    url : str
        ``http://host:port`` where the server accepts requests.
    slots : int
        Requests that the server can run concurrently.
    start_id : str
        Id that differs after each start of the server process.
    connections_max : int
        Connections that the server accepts concurrently.
    in_flight : int or None
        Requests running now, as counted by the server.
    version : str
        Version of the server's software, which rollouts refer to.
    """

    service: _Name
    url: _Url
    slots: _PositiveCount
    start_id: _Name
    connections_max: _PositiveCount = 200
    in_flight: _Count | None = None
    version: Annotated[str, msgspec.Meta(max_length=200)] = ""


class ServerHandler(tornado.web.RequestHandler):
    """Handles announcements (PUT) and departures (DELETE) of a server."""

    def initialize(self, gate: Gate) -> None:
        """Store the gate of the server."""
        self._gate = gate

    async def put(self, server: str) -> None:
        """Announce the server or renew its announcement."""
        if len(self.request.body) > BODY_MAX_BYTES:
            self._send_error(413, f"an announcement has at most {BODY_MAX_BYTES} bytes")
            return
        try:
            body = msgspec.json.decode(self.request.body, type=AnnounceBody)
        except DECODE_ERRORS as error:
            self._send_error(400, str(error))
            return
        await self._gate.check_departures(server, body.start_id)
        result = self._gate.announce(
            Announcement(server, **msgspec.structs.asdict(body))
        )
        if isinstance(result, AnnounceAccepted):
            self._send_json(200, {"renew_s": result.renew_s, "limit": result.limit})
        else:
            self._send_error(409, result.detail)

    async def delete(self, server: str) -> None:
        """Stop sending requests to the server; running ones are finished."""
        known = self._gate.leave(server)
        if not await self._gate.confirm_departure(server):
            detail = "no majority of the control hosts remembers the departure yet"
            self._send_error(503, f"{detail}; send it again")
            return
        if not known:
            self._send_error(404, f"server {server} is not known here")
            return
        load = self._gate.get_load()
        in_flight = 0 if load is None else load.in_flight
        self._send_json(200, {"in_flight": in_flight})

    def _send_error(self, status, detail):
        self._send_json(status, {"error": detail})

    def _send_json(self, status, content):
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))


def make_server_routes(gate: Gate) -> list[tuple[str, type, dict]]:
    """Return the routes of the server's interface for a tornado application."""
    return [(SERVER_PATH, ServerHandler, {"gate": gate})]
