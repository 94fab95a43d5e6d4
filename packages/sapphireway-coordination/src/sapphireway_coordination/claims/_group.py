"""The journal's view of claim groups: who holds which claims."""

import zlib
from collections.abc import Iterable

import msgspec

from sapphireway_protocol import ClaimGroup, GroupHolder

GROUP_SIZE_MAX = 5


class GroupChange(msgspec.Struct, frozen=True, array_like=True):
    """A command of the journal: set the holders of a claim group.

    Attributes
    ----------
    group_name : str
    expected_epoch : int
        Epoch that the change is based on; 0 if there is no such group yet.
    holders : tuple of GroupHolder
    lost : bool
        True if the claims of the current epoch are given up as lost.
    unsure_s : float
        After a loss, how long an absent key proves nothing.
    """

    group_name: str
    expected_epoch: int
    holders: tuple[GroupHolder, ...]
    lost: bool = False
    unsure_s: float = 0.0


class GroupChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a `GroupChange`.

    Attributes
    ----------
    accepted : bool
    group : ClaimGroup or None
        The group in force after the command.
    reason : str
        Why the change was refused.
    """

    accepted: bool
    group: ClaimGroup | None
    reason: str = ""


class ClaimGroupMachine:
    """Applies `GroupChange` commands of the control quorum's journal.

    The same commands in the same order give the same groups on every control host.
    """

    __slots__ = ("_groups",)

    def __init__(self):
        self._groups = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a journal position.

        Returns
        -------
        bytes
            An encoded `GroupChangeResult`.
        """
        try:
            change = msgspec.msgpack.decode(command, type=GroupChange)
        except msgspec.MsgspecError:
            return _encode_refusal(None, "malformed command")
        group = self._groups.get(change.group_name)
        reason = _find_fault(group, change)
        if reason:
            return _encode_refusal(group, reason)
        group = ClaimGroup(
            change.group_name,
            change.expected_epoch + 1,
            change.holders,
            () if group is None or change.lost else group.holders,
            change.lost,
            change.unsure_s if change.lost else 0.0,
        )
        self._groups[change.group_name] = group
        return msgspec.msgpack.encode(GroupChangeResult(True, group))

    def get_group(self, name: str) -> ClaimGroup | None:
        """Return the group in force, or None if there is none."""
        return self._groups.get(name)

    def list_groups(self) -> list[ClaimGroup]:
        """Return all groups, ordered by name."""
        return [self._groups[name] for name in sorted(self._groups)]

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self.list_groups())

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises
        ------
        msgspec.MsgspecError
            If the snapshot is damaged.
        """
        groups = msgspec.msgpack.decode(snapshot, type=list[ClaimGroup])
        self._groups = {group.name: group for group in groups}


def name_group(service: str, key: str, shards: int) -> str:
    """Return the name of the group that holds the claim of `key`."""
    if shards == 1:
        return service
    return f"{service}/{zlib.crc32(key.encode()) % shards}"


def list_group_names(service: str, shards: int) -> list[str]:
    """Return the names of all groups of a service."""
    if shards == 1:
        return [service]
    return [f"{service}/{shard}" for shard in range(shards)]


def get_service(group_name: str) -> str:
    """Return the service that a group belongs to."""
    return group_name.partition("/")[0]


def list_nodes(holders: Iterable[GroupHolder]) -> set[str]:
    """Return the addresses of `holders`."""
    return {holder.node for holder in holders}


def _find_fault(group, change):
    if change.expected_epoch != (group.epoch if group else 0):
        return "the group has changed"
    if not 1 <= len(change.holders) <= GROUP_SIZE_MAX:
        return f"a group has 1 to {GROUP_SIZE_MAX} holders"
    if len(list_nodes(change.holders)) != len(change.holders):
        return "a node can't hold twice"
    if change.lost and change.unsure_s <= 0:
        return "a loss needs a time to be unsure"
    if group is None or change.lost:
        return ""
    added = set(change.holders) - set(group.holders)
    removed = set(group.holders) - set(change.holders)
    if len(added) > 1 or len(removed) > 1:
        return "one holder is changed at a time"
    if not added and not removed:
        return "nothing changes"
    return ""


def _encode_refusal(group, reason):
    return msgspec.msgpack.encode(GroupChangeResult(False, group, reason))
