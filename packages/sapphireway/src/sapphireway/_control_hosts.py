"""Status and membership changes of the control hosts, available on every node."""

import asyncio
from collections.abc import Iterable, Sequence

from sapphireway._operator_backend import (
    ChangeRefused,
    FindStaleness,
    Unavailable,
)
from sapphireway_coordination import Committed, ControlClient, QuorumStatus, Role
from sapphireway_protocol import (
    ControlHostState,
    Peers,
    QuorumMember,
    ReadControlHost,
)
from sapphireway_state import (
    CONTROL_VOTERS_MIN,
    ControlHostsChange,
    ControlHostsReport,
    ControlHostStatus,
    find_change_error,
    leaves_too_few_voters,
)

READ_TIMEOUT_S = 1.0
CHANGE_TIMEOUT_S = 5.0


class ControlHostManager:
    """Lists and changes the members of the control quorum.

    Parameters
    ----------
    peers : Peers
    control_client : ControlClient
    configured : sequence of str
        Control hosts in this process's settings.
    """

    __slots__ = ("_configured", "_control_client", "_peers")

    def __init__(
        self, peers: Peers, control_client: ControlClient, configured: Sequence[str]
    ):
        self._configured = tuple(configured)
        self._control_client = control_client
        self._peers = peers

    async def list_hosts(self) -> ControlHostsReport:
        """Return the states of the configured hosts and of all quorum members."""
        states = await self._fetch_states(self._configured)
        members = find_newest_members(states)
        states |= await self._fetch_states(
            member.address
            for member in members
            if member.address not in self._configured
        )
        # A member that is not configured here may know of newer members.
        return _make_report(self._configured, states)

    async def change(
        self, change: ControlHostsChange, find_staleness: FindStaleness
    ) -> ControlHostsReport | ChangeRefused | Unavailable:
        """Add and remove control hosts and return the resulting report."""
        report = await self.list_hosts()
        if not report.cluster_id:
            return Unavailable("no control host answered")
        error = find_change_error(change, report)
        if error is not None:
            return ChangeRefused(error)
        if leaves_too_few_voters(change, report) and not change.force:
            detail = f"fewer than {CONTROL_VOTERS_MIN} voters would be left"
            return ChangeRefused(detail, can_be_forced=True)
        staleness = await find_staleness()
        if staleness is not None:
            return Unavailable(staleness)
        result = await self._control_client.change_members(
            change.add, change.remove, CHANGE_TIMEOUT_S
        )
        if isinstance(result, Committed):
            return await self.list_hosts()
        return Unavailable(result.detail, result.maybe_applied)

    async def _fetch_states(
        self, addresses: Iterable[str]
    ) -> dict[str, ControlHostState]:
        addresses = list(addresses)
        replies = await asyncio.gather(
            *(
                self._peers.request(address, ReadControlHost(), READ_TIMEOUT_S)
                for address in addresses
            )
        )
        return {
            address: reply.message
            for address, reply in zip(addresses, replies, strict=True)
            if reply is not None and isinstance(reply.message, ControlHostState)
        }


def make_control_host_state(status: QuorumStatus) -> ControlHostState:
    """Return the state that a control host reports about itself."""
    return ControlHostState(
        status.role.value,
        status.cluster_id,
        status.disk_id,
        status.term,
        status.leader or "",
        status.commit_index,
        status.last_index,
        [*status.voters, *status.learners],
        status.disk,
        status.detail,
    )


def find_newest_members(states: dict[str, ControlHostState]) -> list[QuorumMember]:
    """Return the members known to the host with the latest term and commit index."""
    newest = _find_newest(states)
    return list(newest.members) if newest is not None else []


def find_leader(states: dict[str, ControlHostState]) -> str:
    """Return the leader with the latest term, or an empty string.

    An isolated leader keeps reporting itself as leader for a while.
    """
    leading = [
        (state.term, address)
        for address, state in states.items()
        if state.role == Role.LEADER
    ]
    return max(leading)[1] if leading else ""


def describe_problem(state: ControlHostState) -> str:
    """Return the problems of a control host, or an empty string."""
    disk = "" if state.disk == "ok" else f"disk: {state.disk}"
    return "; ".join(filter(None, (disk, state.detail)))


def _find_newest(states):
    known = [state for state in states.values() if state.members]
    return max(known, key=lambda state: (state.term, state.commit_index), default=None)


def _make_report(configured, states):
    newest = _find_newest(states)
    members = find_newest_members(states)
    addresses = {*configured, *states, *(member.address for member in members)}
    hosts = [
        _describe_host(address, members, states.get(address))
        for address in sorted(addresses)
    ]
    cluster_id = newest.cluster_id if newest is not None else ""
    return ControlHostsReport(hosts, find_leader(states), cluster_id)


def _describe_host(address, members, state):
    member = _describe_member(address, members)
    if state is None:
        return ControlHostStatus(address, member)
    return ControlHostStatus(
        address,
        member,
        True,
        state.role,
        state.term,
        state.commit_index,
        state.last_index,
        state.disk,
        state.detail,
    )


def _describe_member(address, members):
    found = [member for member in members if member.address == address]
    if not found:
        return "none"
    # While a disk is being replaced, the old voter has the same address.
    others = [member for member in found if not member.voter]
    if not others:
        return "voter"
    return "learner" if any(member.disk_id for member in others) else "expected"
