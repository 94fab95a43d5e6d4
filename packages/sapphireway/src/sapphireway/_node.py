"""Composition root of the node: builds its parts and wires them."""

import asyncio
import itertools
import random
import secrets
import time

import msgspec
import tornado.httpserver
import tornado.web

from sapphireway._callers import CallerApi
from sapphireway._decisions import DecisionLog
from sapphireway._logs import EventLog
from sapphireway._member_view import make_get_members
from sapphireway._metrics import Metrics
from sapphireway._server_api import make_server_routes
from sapphireway_coordination import (
    Directory,
    Dispatcher,
    Gate,
    Membership,
    SettingsFollower,
)
from sapphireway_protocol import NodeEntry, Peers, ServerEntry
from sapphireway_state import (
    Invalid,
    Policy,
    ProcessSettings,
    SettingsView,
    format_problem,
    load_tree,
)
from sapphireway_transport import CurlServerClient, HttpListener, ZmqEndpoint

INCARNATION_BYTES = 8
SERVER_CHECK_INTERVAL_S = 0.1
FIRST_MEMBERS_TIMEOUT_S = 1.0
DEFAULT_POLICY = Policy()


class Node:
    """One process of the system with all its roles.

    Parameters
    ----------
    settings : ProcessSettings
    log : EventLog
    """

    __slots__ = (
        "_admin",
        "_callers",
        "_client",
        "_control",
        "_decisions",
        "_dispatcher",
        "_follower",
        "_gate",
        "_listener",
        "_log",
        "_membership",
        "_metrics",
        "_peers",
        "_presented",
        "_settings",
        "_tasks",
        "_view",
    )

    def __init__(self, settings: ProcessSettings, log: EventLog):
        self._settings = settings
        self._log = log
        self._tasks = []
        self._view = None
        self._presented = []
        rng = random.Random(settings.seed)
        self._metrics = Metrics()
        self._decisions = DecisionLog()
        self._peers = self._build_peers()
        self._follower = SettingsFollower(self._peers, self._apply, time.time)
        self._peers.observe = self._follower.observe
        self._membership = self._build_membership(rng)
        get_members = make_get_members(self._membership, lambda: self._view)
        self._dispatcher = Dispatcher(self._peers, get_members, rng, self._observe)
        self._client = CurlServerClient()
        self._gate = Gate(
            self._peers,
            self._client,
            rng,
            self._get_policy,
            self._observe,
            lambda service: [member.node for member in get_members(service)],
        )
        self._control = self._build_control()
        self._callers = CallerApi(
            lambda: self._view,
            settings.domain,
            _make_call_ids(self._peers.incarnation),
            self._dispatch,
            self._metrics,
            log,
        )
        self._listener = HttpListener(
            self._callers.handle, self._callers.prepare, self._callers.reject
        )
        self._admin = tornado.httpserver.HTTPServer(self._build_admin())

    async def start(self) -> None:
        """Bind the addresses and begin all tasks.

        Raises
        ------
        OSError
            If an address can't be bound.
        """
        self._peers.start()
        if self._settings.initial_tree is not None:
            self._load_initial_tree()
        self._spawn(self._membership.run())
        self._spawn(self._present_server())
        if self._control is not None:
            self._spawn(self._control.run())
        self._listener.listen(*_split_address(self._settings.http_address))
        host, port = _split_address(self._settings.admin_address)
        self._admin.listen(port, host)
        self._log.info("started", address=self._settings.address)

    async def stop(self) -> bool:
        """Stop gracefully; True if nothing in flight was cut."""
        self._log.info("stopping", address=self._settings.address)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._get_policy("", "").drain_timeout_ms / 1000
        self._callers.stopping = True
        self._listener.stop_accepting()
        drained = await self._gate.drain(deadline_s)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._listener.finish_requests()
        except TimeoutError:
            drained = False
        await self._close()
        self._log.info("stopped", drained=drained)
        return drained

    async def _close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._gate.close()
        self._client.close()
        await self._listener.close()
        self._admin.stop()
        self._peers.close()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._check_task)
        self._tasks.append(task)

    def _check_task(self, task):
        # A background task ends only by being cancelled; anything else is a
        # broken invariant, and the process must not go on without it.
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", detail=repr(task.exception()))
            raise SystemExit(1) from task.exception()

    def _build_peers(self):
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        endpoint = ZmqEndpoint(self._settings.address)
        return Peers(endpoint, incarnation, lambda: self._follower.version)

    def _build_membership(self, rng):
        entry = NodeEntry(
            self._settings.address,
            self._settings.domain,
            self._settings.region,
            self._peers.incarnation,
            time.time(),
            0,
            [],
        )
        return Membership(
            self._peers,
            self._settings.control_hosts,
            entry,
            rng,
            lambda: self._follower.in_force_since_s,
        )

    def _build_control(self):
        if not self._settings.control:
            return None
        own = self._settings.address
        others = [host for host in self._settings.control_hosts if host != own]
        return Directory(self._peers, others)

    def _build_admin(self):
        return tornado.web.Application(
            make_server_routes(self._gate), log_function=lambda handler: None
        )

    def _load_initial_tree(self):
        view = load_tree(self._settings.initial_tree)
        if isinstance(view, Invalid):
            raise OSError(format_problem(view.problems[0]))
        self._follower.put_in_force(1, msgspec.msgpack.encode(view.tree))

    def _apply(self, version, data):
        self._view = SettingsView(msgspec.msgpack.decode(data), version)
        self._update_out()
        self._log.info("settings_in_force", version=version)

    def _update_out(self):
        announcement = self._gate.announcement
        server = announcement.server if announcement else ""
        self._gate.set_out(self._view.is_out(self._settings.domain, server))

    def _get_policy(self, service, kind):
        if self._view is None:
            return DEFAULT_POLICY
        return self._view.resolve(self._settings.domain, service, kind)

    async def _dispatch(self, call):
        await self._membership.follow(call.service, FIRST_MEMBERS_TIMEOUT_S)
        started_s = asyncio.get_running_loop().time()
        outcome = await self._dispatcher.dispatch(call)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self._metrics.record(
            "sapphireway_call_seconds",
            elapsed_s,
            service=call.service,
            kind=call.kind,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def _present_server(self):
        while True:
            servers = self._list_servers()
            if servers != self._presented:
                self._presented = servers
                self._membership.set_servers(servers)
                if self._view is not None:
                    self._update_out()
            await asyncio.sleep(SERVER_CHECK_INTERVAL_S)

    def _list_servers(self):
        announcement = self._gate.announcement
        if announcement is None:
            return []
        return [
            ServerEntry(
                announcement.server,
                announcement.service,
                announcement.start_id,
                announcement.slots,
                not self._gate.available,
            )
        ]

    def _observe(self, event):
        self._decisions.record(event)
        self._metrics.count("sapphireway_events_total", event=type(event).__name__)


def _make_call_ids(incarnation):
    numbers = itertools.count(1)
    return lambda: f"{incarnation}-{next(numbers)}"


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
