"""The replicated state machine that assigns holders to claim groups."""

import zlib
from collections.abc import Iterable

import msgspec

from sapphireway_protocol import DECODE_ERRORS, ClaimGroup, GroupHolder

GROUP_SIZE_MAX = 5


class GroupChange(msgspec.Struct, frozen=True, array_like=True):
    """A journal command that sets the holders of a claim group.

    Attributes
    ----------
    group_name : str
    expected_epoch : int
        Epoch that the change is based on; 0 if the group does not exist yet.
    holders : tuple of GroupHolder
    lost : bool
        True if the claims of the current epoch are declared lost.
    unsure_s : float
        After a loss, how long a missing key is not proof that it was never claimed.
    """

    group_name: str
    expected_epoch: int
    holders: tuple[GroupHolder, ...]
    lost: bool = False
    unsure_s: float = 0.0


class GroupChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a `GroupChange`.

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

    Applying commands is deterministic, so all control hosts have the same groups.
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
        except DECODE_ERRORS:
            return _encode_refusal(None, "malformed command")
        group = self._groups.get(change.group_name)
        reason = _find_refusal_reason(group, change)
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
        """Serialize all groups."""
        return msgspec.msgpack.encode(self.list_groups())

    def restore(self, snapshot: bytes) -> None:
        """Replace all groups by those of a snapshot.

        Raises
        ------
        msgspec.MsgspecError
            If the snapshot is damaged.
        """
        groups = msgspec.msgpack.decode(snapshot, type=list[ClaimGroup])
        self._groups = {group.name: group for group in groups}


def name_group(service: str, key: str, shards: int) -> str:
    """Return the name of the group that holds claims of `key`."""
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


def _find_refusal_reason(group, change):
    if change.expected_epoch != (group.epoch if group else 0):
        return "the group has changed since the expected epoch"
    if not 1 <= len(change.holders) <= GROUP_SIZE_MAX:
        return f"a group must have 1 to {GROUP_SIZE_MAX} holders"
    if len(list_nodes(change.holders)) != len(change.holders):
        return "a node can't be two holders of a group"
    if change.lost and change.unsure_s <= 0:
        return "unsure_s must be above 0 if claims are lost"
    if group is None or change.lost:
        return ""
    added = set(change.holders) - set(group.holders)
    removed = set(group.holders) - set(change.holders)
    if len(added) > 1 or len(removed) > 1:
        return "only one holder may be changed at a time"
    if not added and not removed:
        return "the command changes no holder"
    return ""


def _encode_refusal(group, reason):
    return msgspec.msgpack.encode(GroupChangeResult(False, group, reason))
