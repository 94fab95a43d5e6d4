"""Control role: quorum, membership directory and claim group controller."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway._control_hosts import make_control_host_state
from sapphireway._journal_folder import make_journal_disk, make_journal_limits
from sapphireway._logs import EventLog
from sapphireway._stalls import StallWatch
from sapphireway_coordination import (
    GROUP_PREFIX,
    ROLLOUT_PREFIX,
    TREE_PREFIX,
    AgeClock,
    AppliedState,
    ClaimGroupController,
    Committed,
    ConfirmationSource,
    ControlHostList,
    ControlMachine,
    DepartureStore,
    Directory,
    DiskFailureSeen,
    DiskReopened,
    EntriesUnanswered,
    GroupControllerSettings,
    HolderSettings,
    JoinAnswered,
    MembersProposed,
    Quorum,
    QuorumSettings,
    QuorumStatus,
    QuotaOwner,
    Role,
    RolloutController,
    SnapshotNotSaved,
)
from sapphireway_protocol import ListNodes, NodeList, Peers, SettingsUpdate
from sapphireway_state import (
    OTHER_KIND,
    Edit,
    Invalid,
    ProcessSettings,
    SetValue,
    UpdateResult,
    load_tree,
)
from sapphireway_transport import Disk, read_instant

INITIAL_EDIT_ID = "initial-tree"
INITIAL_OPERATOR = "bootstrap"
CHECK_INTERVAL_S = 0.2
# Longer than a host's restart, shorter than the time between two losses of hosts.
SILENT_VOTER_TIMEOUT_S = 3.0
LIST_NODES_TIMEOUT_S = 0.3  # the end of a rollout waits for it if a host is down

_QUORUM_EVENT_NAMES = {
    DiskFailureSeen: "disk_failed",
    DiskReopened: "disk_reopened",
    EntriesUnanswered: "entries_unanswered",
    JoinAnswered: "join_answered",
    MembersProposed: "members_proposed",
    SnapshotNotSaved: "snapshot_not_saved",
}


class ControlHost:
    """Components that a process with the control role runs in addition to its node.

    Parameters
    ----------
    settings : ProcessSettings
    peers : Peers
    rng : random.Random
    apply_update : callable
        Awaited with each `SettingsUpdate` from the journal.
    state : AppliedState
        State in force at this node.
    observe : callable
        Called with each event.
    log : EventLog
    hosts : ControlHostList
        Updated whenever the quorum's members change.
    watch : StallWatch
    disk : Disk or None
        Keeps the departures of servers across restarts.
    """

    __slots__ = (
        "_apply_update",
        "_confirmation_source",
        "_departure_store",
        "_directory",
        "_disk",
        "_group_controller",
        "_hosts",
        "_journal_changed",
        "_log",
        "_machine",
        "_peers",
        "_quorum",
        "_quota_owner",
        "_rollout_controller",
        "_settings",
        "_state",
    )

    def __init__(
        self,
        settings: ProcessSettings,
        peers: Peers,
        rng: random.Random,
        apply_update: Callable[[SettingsUpdate], Awaitable[UpdateResult]],
        state: AppliedState,
        observe: Callable[[Any], None],
        log: EventLog,
        hosts: ControlHostList,
        watch: StallWatch,
        disk: Disk | None = None,
    ):
        self._hosts = hosts
        self._peers = peers
        self._log = log
        self._apply_update = apply_update
        self._settings = settings
        self._state = state
        self._journal_changed = asyncio.Event()
        self._directory = Directory(
            peers, hosts, lambda: make_control_host_state(self._quorum.get_status())
        )
        self._departure_store = DepartureStore(
            peers, lambda: hosts.addresses, disk, self._log_departures_failure
        )
        self._machine = ControlMachine(self._journal_changed.set)
        self._disk = make_journal_disk(settings)
        self._quorum = Quorum(
            peers,
            self._disk,
            self._machine,
            settings.control_hosts,
            rng,
            QuorumSettings(
                limits=make_journal_limits(settings),
                admit_unknown_hosts=settings.open_control,
                silent_voter_timeout_s=SILENT_VOTER_TIMEOUT_S
                if settings.open_control
                else 0.0,
                losses_max=settings.control_losses_max,
            ),
            bootstrap=settings.bootstrap,
            observe=self._log_quorum_event,
            compute_read_delay=watch.compute_read_delay,
        )
        self._quorum.serve_queries(self._machine.read)
        self._confirmation_source = ConfirmationSource(
            peers,
            self._quorum.read_barrier,
            lambda: self._machine.routes.version,
            read_instant,
        )
        self._group_controller = ClaimGroupController(
            peers,
            self._list_services,
            self._directory.get_members,
            self._machine.groups.get_group,
            self._get_unsure_s,
            self._propose_group,
            self._is_leader,
            GroupControllerSettings(),
            observe=observe,
            get_losses_max=self._get_losses_max,
        )
        self._rollout_controller = RolloutController(
            peers,
            lambda: self._machine.rollouts.rollouts.values(),
            self._directory.get_members,
            self._list_settings_versions,
            self._propose_rollout,
            self._is_leader,
            time.time,
            observe,
        )
        self._quota_owner = QuotaOwner(
            peers,
            self._quorum.get_status,
            self._quorum.read_barrier,
            lambda: self._machine.routes.table.workspaces,
            AgeClock(read_instant),
            observe,
        )

    async def run(self) -> None:
        """Run all components until cancelled."""
        await self._quorum.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._directory.run())
                group.create_task(self._departure_store.run())
                group.create_task(self._group_controller.run())
                group.create_task(self._rollout_controller.run())
                group.create_task(self._confirmation_source.run())
                group.create_task(self._quota_owner.run())
                group.create_task(self._watch_quorum())
                group.create_task(self._apply_journal())
                if self._settings.initial_tree is not None:
                    group.create_task(self._propose_initial_tree())
        finally:
            await self._quorum.stop()
            self._disk.close()

    def get_status(self) -> QuorumStatus:
        """Return the quorum's status as known to this host."""
        return self._quorum.get_status()

    def find_leader(self) -> str | None:
        """Return the address of the leader that this host hears, or None."""
        return self._quorum.find_leader()

    def has_lost_quorum(self) -> bool:
        """Whether this host has had no leader for longer than an election takes."""
        return self._quorum.has_lost_quorum()

    def _log_quorum_event(self, event):
        name = _QUORUM_EVENT_NAMES[type(event)]
        self._log.warning(name, **msgspec.structs.asdict(event))

    def _log_departures_failure(self, failed):
        self._log.warning(
            "departures_disk_failed", operation=failed.operation, detail=failed.detail
        )

    async def _watch_quorum(self):
        logged = logged_members = None
        while True:
            current = self._quorum.get_status()
            addresses = [m.address for m in (*current.voters, *current.learners)]
            if self._hosts.update(current.members_index, addresses):
                self._log.info("control_hosts", hosts=self._hosts.addresses)
            if self._quorum.failure is not None:
                raise self._quorum.failure
            if (current.role, current.term, current.detail) != logged:
                logged = (current.role, current.term, current.detail)
                self._log.info(
                    "quorum",
                    role=current.role,
                    term=current.term,
                    disk=current.disk,
                    detail=current.detail,
                )
            if current.members_index != logged_members:
                logged_members = current.members_index
                self._log.info(
                    "quorum_members",
                    index=current.members_index,
                    is_member=_is_member(current),
                    voters=_describe_members(current.voters),
                    learners=_describe_members(current.learners),
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _apply_journal(self):
        while True:
            await self._journal_changed.wait()
            self._journal_changed.clear()
            state = self._state
            update = self._machine.make_update(
                state.view.version,
                state.groups_version,
                state.routes.version,
                state.rollouts_version,
            )
            applied = await self._apply_update(update)
            if applied is UpdateResult.NEEDS_WHOLE:
                # Another peer's update was applied after this one was made.
                self._journal_changed.set()

    async def _propose_initial_tree(self):
        view = load_tree(self._settings.initial_tree)
        if isinstance(view, Invalid):
            self._log.error("initial_tree_invalid", problems=len(view.problems))
            return
        operations = [SetValue("", view.tree)]
        edit = Edit(INITIAL_EDIT_ID, 0, operations, INITIAL_OPERATOR, "", time.time())
        command = TREE_PREFIX + msgspec.msgpack.encode(edit)
        while self._machine.settings.version == 0:
            if self._is_leader():
                await self._quorum.propose(command)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _propose_group(self, command):
        result = await self._quorum.propose(GROUP_PREFIX + command)
        return result.result if isinstance(result, Committed) else None

    async def _propose_rollout(self, command):
        result = await self._quorum.propose(ROLLOUT_PREFIX + command)
        return result.result if isinstance(result, Committed) else None

    async def _list_settings_versions(self):
        """Return the settings version in force at each live node, 0 if unknown."""
        entries = {entry.node: entry for entry in self._directory.list_entries()}
        # Only the directory with which a node renews knows its version.
        replies = await asyncio.gather(
            *(
                self._peers.request(host, ListNodes(), LIST_NODES_TIMEOUT_S)
                for host in self._hosts.addresses
            )
        )
        statuses = [
            status
            for reply in replies
            if reply is not None and isinstance(reply.message, NodeList)
            for status in reply.message.nodes
        ]
        versions = dict.fromkeys(entries, 0)
        for status in statuses:
            entry = status.entry
            known = entries.setdefault(entry.node, entry) if status.alive else None
            if known is not None and known.incarnation == entry.incarnation:
                version = max(versions.get(entry.node, 0), status.settings_version)
                versions[entry.node] = version
        return versions

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


def _is_member(status):
    """Return whether a host's own journal lists its disk as a member."""
    members = (*status.voters, *status.learners)
    return any(member.disk_id == status.disk_id for member in members)


def _describe_members(members):
    return [f"{member.address} {member.disk_id}" for member in members]
