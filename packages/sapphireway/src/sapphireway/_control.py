"""Parts of a control host: quorum, membership directory and claim keeper."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway._control_hosts import make_state
from sapphireway._journal_folder import make_journal_disk, make_journal_limits
from sapphireway._logs import EventLog
from sapphireway_coordination import (
    GROUP_PREFIX,
    TREE_PREFIX,
    ClaimKeeper,
    Committed,
    ControlHostList,
    ControlMachine,
    Directory,
    HolderSettings,
    KeeperSettings,
    Quorum,
    QuorumSettings,
    QuorumStatus,
    Role,
    StateInForce,
)
from sapphireway_protocol import Peers, SettingsUpdate
from sapphireway_state import (
    OTHER_KIND,
    Edit,
    Invalid,
    ProcessSettings,
    SetValue,
    UpdateResult,
    load_tree,
)

INITIAL_EDIT = "initial-tree"
INITIAL_OPERATOR = "bootstrap"
INITIAL_CHECK_INTERVAL_S = 0.2
REPLACE_SILENT_S = 3.0  # longer than a restart, shorter than until the next loss


class ControlHost:
    """What a process with the control role runs beside its node.

    Parameters
    ----------
    settings : ProcessSettings
    peers : Peers
    rng : random.Random
    put_in_force : callable
        Awaited with each `SettingsUpdate` of the journal.
    state : StateInForce
        What this node has in force.
    observe : callable
        Takes every event.
    log : EventLog
    hosts : ControlHostList
        Kept up to date from the quorum's members.
    """

    __slots__ = (
        "_changed",
        "_directory",
        "_disk",
        "_hosts",
        "_keeper",
        "_log",
        "_machine",
        "_put_in_force",
        "_quorum",
        "_settings",
        "_state",
    )

    def __init__(
        self,
        settings: ProcessSettings,
        peers: Peers,
        rng: random.Random,
        put_in_force: Callable[[SettingsUpdate], Awaitable[UpdateResult]],
        state: StateInForce,
        observe: Callable[[Any], None],
        log: EventLog,
        hosts: ControlHostList,
    ):
        self._hosts = hosts
        self._log = log
        self._put_in_force = put_in_force
        self._settings = settings
        self._state = state
        self._changed = asyncio.Event()
        self._directory = Directory(
            peers, hosts, lambda: make_state(self._quorum.get_status())
        )
        self._machine = ControlMachine(self._changed.set)
        self._disk = make_journal_disk(settings)
        self._quorum = Quorum(
            peers,
            self._disk,
            self._machine,
            settings.control_hosts,
            rng,
            QuorumSettings(
                limits=make_journal_limits(settings),
                admits_unknown=settings.open_control,
                replace_silent_s=REPLACE_SILENT_S if settings.open_control else 0.0,
            ),
            bootstrap=settings.bootstrap,
        )
        self._quorum.serve_queries(self._machine.read)
        self._keeper = ClaimKeeper(
            peers,
            self._list_services,
            self._directory.get_members,
            self._machine.groups.get_group,
            self._get_unsure_s,
            self._propose_group,
            self._is_leader,
            KeeperSettings(),
            observe=observe,
            get_losses_max=self._get_losses_max,
        )

    async def run(self) -> None:
        """Take part until cancelled."""
        await self._quorum.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._directory.run())
                group.create_task(self._keeper.run())
                group.create_task(self._watch_quorum())
                group.create_task(self._follow_journal())
                if self._settings.initial_tree is not None:
                    group.create_task(self._propose_initial_tree())
        finally:
            await self._quorum.stop()
            self._disk.close()

    def get_status(self) -> QuorumStatus:
        """Return what this host knows of the quorum."""
        return self._quorum.get_status()

    async def _watch_quorum(self):
        status = None
        while True:
            current = self._quorum.get_status()
            addresses = [m.address for m in (*current.voters, *current.learners)]
            if self._hosts.update(current.members_index, addresses):
                self._log.info("control_hosts", hosts=self._hosts.addresses)
            if self._quorum.failure is not None:
                raise self._quorum.failure
            if status is None or (current.role, current.term) != status:
                status = (current.role, current.term)
                self._log.info(
                    "quorum", role=current.role, term=current.term, disk=current.disk
                )
            await asyncio.sleep(INITIAL_CHECK_INTERVAL_S)

    async def _follow_journal(self):
        while True:
            await self._changed.wait()
            self._changed.clear()
            state = self._state
            update = self._machine.make_update(
                state.view.version, state.groups_version, state.routes.version
            )
            applied = await self._put_in_force(update)
            if applied is UpdateResult.NEEDS_WHOLE:
                # Another peer's update came into force since this one was made.
                self._changed.set()

    async def _propose_initial_tree(self):
        view = load_tree(self._settings.initial_tree)
        if isinstance(view, Invalid):
            self._log.error("initial_tree_invalid", problems=len(view.problems))
            return
        operations = [SetValue("", view.tree)]
        edit = Edit(INITIAL_EDIT, 0, operations, INITIAL_OPERATOR, "", time.time())
        command = TREE_PREFIX + msgspec.msgpack.encode(edit)
        while self._machine.settings.version == 0:
            if self._is_leader():
                await self._quorum.propose(command)
            await asyncio.sleep(INITIAL_CHECK_INTERVAL_S)

    async def _propose_group(self, command):
        result = await self._quorum.propose(GROUP_PREFIX + command)
        return result.result if isinstance(result, Committed) else None

    def _is_leader(self):
        return self._quorum.get_status().role is Role.LEADER

    def _list_services(self):
        return list(self._machine.settings.tree.get("services", {}))

    def _get_losses_max(self, service):
        return self._state.view.resolve("", service, "").claim_losses_max

    def _get_unsure_s(self, service):
        view = self._state.view
        kinds = view.tree.get("services", {}).get(service, {}).get("kinds", {})
        ttls = [
            view.resolve(domain, service, kind).claim_ttl_s
            for domain in (*view.list_domains(), "")
            for kind in (*kinds, OTHER_KIND)
        ]
        return max(ttls) + HolderSettings().lease_s
