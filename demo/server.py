"""Stand-in server: a process that announces itself to its node.

Run it with ``python -m demo.server --help``. Its behaviour is read with
``GET /control/behaviour`` and changed with ``PATCH /control/behaviour``;
``GET /control/runs`` shows the requests that it ran.
"""

import asyncio
import contextlib
import os
import random
import signal
import time
import uuid
from pathlib import Path

import defopt
import msgspec
import tornado.httpclient
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from demo._stand_in import Behaviour, StandIn
from sapphireway_transport import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
)

KEY_HEADER = "Idempotency-Key"
BODY_MAX_BYTES = 64 * 1024 * 1024
CRASH_EXIT_STATUS = 70
DRAIN_MAX_S = 30.0
ANNOUNCE_TIMEOUT_S = 2.0
ANNOUNCE_RETRY_S = 0.2
DEREGISTER_POLL_S = 0.05


class JsonHandler(tornado.web.RequestHandler):
    """Base class of the handlers that answer in JSON."""

    def initialize(self, stand_in: StandIn) -> None:
        """Store the state of the server."""
        self._stand_in = stand_in

    def send(self, content: object) -> None:
        """Answer with `content` encoded as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))


class HealthHandler(JsonHandler):
    """Health check."""

    def get(self) -> None:
        """Answer 200."""
        self.send({"ok": True})


class LoadHandler(JsonHandler):
    """Reports the load, or the configured false value."""

    def get(self) -> None:
        """Answer with the number of requests in flight."""
        stand_in = self._stand_in
        override = stand_in.behaviour.lie_in_flight
        self.send({"in_flight": stand_in.in_flight if override is None else override})


class BehaviourHandler(JsonHandler):
    """Reads and changes the behaviour."""

    def get(self) -> None:
        """Answer with the behaviour."""
        self.send(self._stand_in.behaviour)

    def patch(self) -> None:
        """Change the fields that the JSON body contains."""
        changed = msgspec.structs.asdict(self._stand_in.behaviour)
        try:
            changed |= msgspec.json.decode(self.request.body, type=dict)
            self._stand_in.behaviour = msgspec.convert(changed, Behaviour)
        except msgspec.MsgspecError as error:
            self.set_status(400)
            self.send({"error": str(error)})
            return
        self.send(self._stand_in.behaviour)


class RunsHandler(JsonHandler):
    """Reports the requests that the server has run."""

    def get(self) -> None:
        """Answer with the runs and counters."""
        stand_in = self._stand_in
        self.send(
            {
                "runs": stand_in.list_runs(),
                "in_flight_max": stand_in.in_flight_max,
                "overloads": stand_in.overloads,
                "cancelled": stand_in.cancelled,
            }
        )


class WorkHandler(tornado.web.RequestHandler):
    """Runs callers' requests."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    def initialize(self, stand_in: StandIn) -> None:
        """Store the state of the server."""
        self._stand_in = stand_in
        self._task = None

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has closed the connection."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, *path: str) -> None:
        """Run one request according to the behaviour."""
        behaviour = self._stand_in.behaviour
        self._report()
        if behaviour.shed or behaviour.draining:
            self.set_header(NOT_RUN_HEADER, "shedding")
            self._finish_empty(503)
        elif behaviour.shed_plain:
            self._finish_empty(503)
        elif behaviour.fail:
            self._finish_empty(500)
        else:
            await self._work()

    get = head = post = put = patch = delete = options = run

    def _report(self):
        behaviour, headers = self._stand_in.behaviour, self.request.headers
        if ATTEMPT_ID_HEADER in headers:
            self.set_header(ATTEMPT_ID_HEADER, headers[ATTEMPT_ID_HEADER])
        if behaviour.limit_per_s is not None:
            self.set_header(LIMIT_HEADER, str(behaviour.limit_per_s))
        if behaviour.leaving:
            self.set_header(LEAVING_HEADER, "1")

    def _record(self, key):
        record_file = self._stand_in.record_file
        if record_file is not None:
            line = {
                "key": key,
                "path": self.request.path,
                "server": self._stand_in.name,
                "start": os.getpid(),
                "time_s": time.monotonic(),
                "budget_ms": self.request.headers.get(DEADLINE_HEADER, ""),
                "attempt": self.request.headers.get(ATTEMPT_ID_HEADER, ""),
            }
            record_file.write(msgspec.json.encode(line) + b"\n")

    async def _work(self):
        stand_in = self._stand_in
        headers = self.request.headers
        stand_in.begin(
            headers.get(REQUEST_ID_HEADER, ""), headers.get(ATTEMPT_ID_HEADER, "")
        )
        self._record(headers.get(KEY_HEADER, ""))
        cancelled = True
        try:
            if stand_in.exceeds_cold_slots or self._target_contains(
                stand_in.behaviour.crash_path
            ):
                os._exit(CRASH_EXIT_STATUS)
            self._task = asyncio.create_task(stand_in.work())
            async with asyncio.timeout(self._get_budget_s()):
                await self._task
            cancelled = False
        except (asyncio.CancelledError, TimeoutError):
            self._finish_empty(504)
            return
        finally:
            stand_in.end(cancelled)
        stand_in.answering += 1
        try:
            await self._answer()
        finally:
            stand_in.answering -= 1

    async def _answer(self):
        body = self.request.body or b"x" * self._stand_in.behaviour.answer_bytes
        if self._target_contains(self._stand_in.behaviour.truncate_path):
            stream = self.detach()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) + 1}\r\n\r\n"
            stream.write(head.encode() + body)
            stream.close()
            return
        # What it reports may have changed while it ran the request.
        self._report()
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(REQUEST_ID_HEADER, self.request.headers[REQUEST_ID_HEADER])
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await self.finish(body)

    def _finish_empty(self, status):
        self.set_status(status)
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            self.finish()

    def _get_budget_s(self):
        try:
            return float(self.request.headers.get(DEADLINE_HEADER, "")) / 1000
        except ValueError:
            return None

    def _target_contains(self, text):
        return bool(text) and text in self.request.uri


def make_application(stand_in: StandIn) -> tornado.web.Application:
    """Return the application with all routes."""
    arguments = {"stand_in": stand_in}
    return tornado.web.Application(
        [
            ("/health", HealthHandler, arguments),
            ("/load", LoadHandler, arguments),
            ("/control/behaviour", BehaviourHandler, arguments),
            ("/control/runs", RunsHandler, arguments),
            ("/.*", WorkHandler, arguments),
        ],
        compress_response=False,
        log_function=lambda handler: None,
    )


async def announce_repeatedly(node: str, server: str, announce) -> None:
    """Announce the server to its node at the interval that the node asks for.

    Parameters
    ----------
    node : str
        URL of the node's server API.
    server : str
    announce : callable
        Returns the content of the announcement.
    """
    client = tornado.httpclient.AsyncHTTPClient()
    while True:
        wait_s = ANNOUNCE_RETRY_S
        try:
            answer = await client.fetch(
                f"{node}/server/{server}",
                method="PUT",
                body=msgspec.json.encode(announce()),
                request_timeout=ANNOUNCE_TIMEOUT_S,
            )
            wait_s = msgspec.json.decode(answer.body)["renew_s"]
        except (tornado.httpclient.HTTPError, OSError):
            # The node may not have started yet.
            pass
        await asyncio.sleep(wait_s)


async def deregister(node: str, server: str) -> None:
    """Remove the server from its node and wait until the node has no request for it.

    A request that the node has started may not have reached the server yet.
    """
    client = tornado.httpclient.AsyncHTTPClient()
    in_flight = 1
    while in_flight:
        try:
            answer = await client.fetch(f"{node}/server/{server}", method="DELETE")
        except (tornado.httpclient.HTTPError, OSError):
            # The node has ended or does not know the server.
            return
        in_flight = msgspec.json.decode(answer.body)["in_flight"]
        await asyncio.sleep(DEREGISTER_POLL_S)


async def serve(
    node: str,
    *,
    server: str,
    service: str,
    host: str,
    port: int,
    url: str,
    slots: int,
    connections: int,
    seed: int,
    record: Path | None,
    version: str = "",
) -> None:
    """Serve until SIGTERM, then deregister and drain requests in flight."""
    stand_in = StandIn(slots, random.Random(seed))
    stand_in.name = server
    if record is not None:
        # Unbuffered, so that no lines are lost when the server is killed.
        stand_in.record_file = record.open("ab", buffering=0)
    http = tornado.httpserver.HTTPServer(
        make_application(stand_in), max_body_size=BODY_MAX_BYTES
    )
    sockets = tornado.netutil.bind_sockets(port, host)
    http.add_sockets(sockets)
    url = url or f"http://{host}:{sockets[0].getsockname()[1]}"
    start_id = uuid.uuid4().hex

    def announce():
        return {
            "service": service,
            "url": url,
            "slots": slots,
            "connections_max": connections,
            "start_id": start_id,
            "in_flight": stand_in.in_flight,
            **({"version": version} if version else {}),
        }

    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    announcing = asyncio.create_task(announce_repeatedly(node, server, announce))
    await stopping.wait()
    announcing.cancel()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_MAX_S):
            await deregister(node, server)
    http.stop()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_MAX_S):
            # Large answers are still being written after their slots are freed.
            while stand_in.in_flight or stand_in.answering:
                await asyncio.sleep(0.02)
    await http.close_all_connections()


def run(
    node: str,
    *,
    server: str = "server-1",
    service: str = "matching",
    host: str = "127.0.0.1",
    port: int = 9001,
    url: str = "",
    slots: int = 6,
    connections: int = 200,
    seed: int = 1,
    record: Path | None = None,
    software: str = "",
) -> None:
    """Run a stand-in server beside a node.

    Parameters
    ----------
    node : str
        URL of the node's server API, such as http://127.0.0.1:8081.
    server : str
        Id of the server, unique in the cluster.
    service : str
    host : str
    port : int
        Port to listen on; 0 selects a free one.
    url : str
        Base URL to announce; built from host and port by default.
    slots : int
        Number of requests that it runs concurrently.
    connections : int
        Number of connections that it accepts concurrently.
    seed : int
        Seed of the random part of its service times.
    record
        File that receives a line for each request when it starts to run.
    software : str
        Version of its software to announce; none by default.
    """
    asyncio.run(
        serve(
            node,
            server=server,
            service=service,
            host=host,
            port=port,
            url=url,
            slots=slots,
            connections=connections,
            seed=seed,
            record=record,
            version=software,
        )
    )


def main() -> None:
    """Run the command line program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
