"""The durable journal (write-ahead log) of one control host."""

import re
from collections.abc import Iterable, Sequence

import msgspec

from sapphireway_protocol import (
    EntryKind,
    JournalEntry,
    QuorumMember,
    decode_msgpack,
)
from sapphireway_state._frame import encode_frame, scan_frames
from sapphireway_state._invariants import check_invariant
from sapphireway_state._snapshot import (
    SNAPSHOT_NAME,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from sapphireway_transport import Disk, DiskFailed

SEGMENT_PREFIX = "journal-"
_SEGMENT_NAME = re.compile(f"{SEGMENT_PREFIX}[0-9a-f]{{16}}")
RECOVERY_ADVICE = (
    "re-seed this host from the others (docs/operate/replace-a-control-host.md)"
)


class JournalLimits(msgspec.Struct, frozen=True):
    """Bounds on the journal's size.

    Attributes
    ----------
    segment_bytes : int
        Size at which a new segment file is started.
    compact_bytes : int
        Total size of the segments at which a snapshot is due.
    journal_max_bytes : int
        Total size of the segments above which appends fail.
    command_max_bytes : int
        Maximum size of one command.
    snapshot_max_bytes : int
        Maximum size of a snapshot that is accepted from another host.
    """

    segment_bytes: int = 1 << 20
    compact_bytes: int = 4 << 20
    journal_max_bytes: int = 64 << 20
    command_max_bytes: int = 1 << 20
    snapshot_max_bytes: int = 64 << 20


class JournalDamaged(msgspec.Struct, frozen=True):
    """A file is corrupt in a way that an interrupted write does not explain.

    Attributes
    ----------
    name : str
    offset : int
        Offset of the first corrupt byte.
    detail : str
        What to do about it, in one line.
    """

    name: str
    offset: int
    detail: str = RECOVERY_ADVICE


class _AppendRecord(msgspec.Struct, frozen=True, array_like=True):
    """Entries appended at `first`; they replace existing ones from that index on."""

    first: int
    entries: list[JournalEntry]


class _Segment(msgspec.Struct):
    name: str
    size: int = 0
    last_index: int = 0


class Journal:
    """Entries after the latest snapshot, in memory and in segment files.

    An entry becomes visible only once it is durable. After the first disk failure
    nothing more is written: after a failed fsync, data that is only in the page cache
    cannot be told apart from data on the disk.

    Parameters
    ----------
    disk : Disk
    limits : JournalLimits

    Attributes
    ----------
    failure : DiskFailed or None
    snapshot : Snapshot
        The latest snapshot; its index is 0 if there is none.
    torn_bytes : int
        Bytes of an interrupted write that `open` truncated.
    """

    __slots__ = (
        "_disk",
        "_encoder",
        "_entries",
        "_segments",
        "failure",
        "limits",
        "snapshot",
        "torn_bytes",
    )

    def __init__(self, disk: Disk, limits: JournalLimits):
        self._disk = disk
        self._encoder = msgspec.msgpack.Encoder()
        self._entries = []
        self._segments = []
        self.failure = None
        self.limits = limits
        self.snapshot = Snapshot(0, 0, [], b"")
        self.torn_bytes = 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def size_bytes(self) -> int:
        """Total size of the segments."""
        return sum(segment.size for segment in self._segments)

    async def open(self) -> JournalDamaged | DiskFailed | None:
        """Read the snapshot and all segments; truncate an interrupted write."""
        names = await self._disk.list()
        if isinstance(names, DiskFailed):
            return names
        if SNAPSHOT_NAME in names:
            problem = await self._read_snapshot()
            if problem is not None:
                return problem
        segments = [name for name in names if _SEGMENT_NAME.fullmatch(name)]
        for name in segments:
            problem = await self._read_segment(name, is_last=name == segments[-1])
            if problem is not None:
                return problem
        return None

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not available."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def get_entry(self, index: int) -> JournalEntry:
        """Return one entry after the snapshot."""
        return self._entries[index - self.snapshot.index - 1]

    def list_entries(self, first: int, max_bytes: int) -> list[JournalEntry]:
        """Return entries from `first` on: up to `max_bytes`, but at least one."""
        entries = []
        size = 0
        for entry in self._entries[first - self.snapshot.index - 1 :]:
            size += len(entry.data)
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return entries

    async def append(
        self, first: int, entries: Sequence[JournalEntry]
    ) -> DiskFailed | None:
        """Durably replace all entries from index `first` on with `entries`."""
        check_invariant(
            self.snapshot.index < first <= self.last_index + 1,
            f"append at index {first}, but the last entry is at {self.last_index}",
        )
        if self.failure is not None:
            return self.failure
        payload = self._encoder.encode(_AppendRecord(first, list(entries)))
        frame = encode_frame(payload)
        failure = self._find_lack_of_room(frame, entries) or await self._write(frame)
        if failure is not None:
            return failure
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, first + len(entries) - 1)
        del self._entries[first - self.snapshot.index - 1 :]
        self._entries.extend(entries)
        return None

    async def save_snapshot(self, snapshot: Snapshot) -> DiskFailed | None:
        """Durably replace the snapshot, then remove the entries that it covers."""
        if self.failure is not None:
            return self.failure
        if snapshot.index <= self.snapshot.index:
            return None
        known_term = self.get_term(snapshot.index)
        if known_term is not None and known_term != snapshot.term:
            # The entries from this index on conflict with committed ones. They must
            # not reappear after the snapshot when the journal is read again.
            failure = await self.append(snapshot.index, [])
            if failure is not None:
                return failure
        failure = await self._disk.replace(SNAPSHOT_NAME, encode_snapshot(snapshot))
        if failure is not None:
            # The entries are still there, whichever snapshot the disk now has.
            return failure
        covered = snapshot.index - self.snapshot.index
        self.snapshot = snapshot
        del self._entries[:covered]
        return await self._remove_covered_segments()

    async def append_missing(self, earlier: "Journal") -> DiskFailed | None:
        """Durably write what an earlier reading of the same folder holds beyond this.

        Entries that a later append has replaced are not written again.
        """
        failure = await self.save_snapshot(earlier.snapshot)
        if failure is not None:
            return failure
        end = (self.last_term, self.last_index)
        if end >= (earlier.last_term, earlier.last_index):
            return None
        first = max(self.snapshot.index, earlier.snapshot.index) + 1
        while first <= earlier.last_index:
            if self.get_term(first) != earlier.get_term(first):
                break
            first += 1
        else:
            return None  # a snapshot has replaced the rest
        entries = earlier.list_entries(first, self.limits.journal_max_bytes)
        return await self.append(first, entries)

    async def remove_all(self) -> DiskFailed | None:
        """Remove the snapshot and all segments."""
        names = await self._disk.list()
        if isinstance(names, DiskFailed):
            return self._record_failure(names)
        for name in names:
            if _SEGMENT_NAME.fullmatch(name) or name == SNAPSHOT_NAME:
                failure = await self._disk.remove(name)
                if failure is not None:
                    return self._record_failure(failure)
        self._entries.clear()
        self._segments.clear()
        self.snapshot = Snapshot(0, 0, [], b"")
        return None

    async def _read_snapshot(self):
        data = await self._disk.read(SNAPSHOT_NAME)
        if isinstance(data, DiskFailed):
            return data
        snapshot = decode_snapshot(data)
        if snapshot is None:
            return JournalDamaged(SNAPSHOT_NAME, 0)
        self.snapshot = snapshot
        return None

    async def _read_segment(self, name, is_last):
        data = await self._disk.read(name)
        if isinstance(data, DiskFailed):
            return data
        scan = scan_frames(data)
        if scan.damaged or (scan.end < len(data) and not is_last):
            return JournalDamaged(name, scan.end)
        segment = _Segment(name, scan.end)
        for payload in scan.payloads:
            damage = self._replay(payload, segment)
            if damage:
                return JournalDamaged(name, 0, f"{damage}; {RECOVERY_ADVICE}")
        self._segments.append(segment)
        if not is_last:
            return None
        self.torn_bytes = len(data) - scan.end
        # After a failed fsync, the page cache may hold data that is not on the disk.
        # Rewriting the last segment makes that data durable.
        return await self._disk.replace(name, data[: scan.end])

    def _replay(self, payload, segment):
        """Add the entries of a record; return what is wrong with it, or ""."""
        record = decode_msgpack(payload, _AppendRecord)
        if record is None or not are_entries_valid(record.entries):
            return "a record can't be decoded"
        base = self.snapshot.index
        segment.last_index = max(
            segment.last_index, record.first + len(record.entries) - 1
        )
        if not 0 < record.first <= self.last_index + 1:
            return "entries are missing"
        del self._entries[max(0, record.first - base - 1) :]
        self._entries.extend(record.entries[max(0, base + 1 - record.first) :])
        return ""

    def _find_lack_of_room(self, frame, entries):
        # Without the first entry of its term, a leader could commit nothing, and the
        # journal could not be compacted.
        if all(entry.kind != EntryKind.COMMAND for entry in entries):
            return None
        if self.size_bytes + len(frame) <= self.limits.journal_max_bytes:
            return None
        return DiskFailed(
            "append",
            "",
            "the journal has reached its maximum size, journal_max_bytes",
        )

    async def _write(self, frame):
        if not self._segments or self._segments[-1].size >= self.limits.segment_bytes:
            self._segments.append(_Segment(self._name_next_segment()))
        segment = self._segments[-1]
        failure = await self._disk.append(segment.name, frame)
        if failure is None:
            failure = await self._disk.sync(segment.name)
        if failure is not None:
            return self._record_failure(failure)
        segment.size += len(frame)
        return None

    def _name_next_segment(self):
        if not self._segments:
            return f"{SEGMENT_PREFIX}{1:016x}"
        number = int(self._segments[-1].name.removeprefix(SEGMENT_PREFIX), 16)
        return f"{SEGMENT_PREFIX}{number + 1:016x}"

    async def _remove_covered_segments(self):
        while len(self._segments) > 1:
            if self._segments[0].last_index > self.snapshot.index:
                return None
            failure = await self._disk.remove(self._segments[0].name)
            if failure is not None:
                return self._record_failure(failure)
            self._segments.pop(0)
        return None

    def _record_failure(self, failure):
        self.failure = failure
        return failure


def encode_members(members: Sequence[QuorumMember]) -> bytes:
    """Encode the data of an entry that sets the quorum members."""
    return msgspec.msgpack.encode(list(members))


def decode_members(data: bytes) -> tuple[QuorumMember, ...]:
    """Decode the quorum members that an entry sets.

    Raises
    ------
    ValueError
        If `data` is malformed.
    """
    members = decode_msgpack(data, list[QuorumMember])
    if members is None:
        raise ValueError("the members of an entry can't be decoded")
    return tuple(members)


def are_entries_valid(entries: Iterable[JournalEntry]) -> bool:
    """Return whether entries from another host or a disk can be decoded."""
    return all(
        entry.kind != EntryKind.MEMBERS
        or decode_msgpack(entry.data, list[QuorumMember]) is not None
        for entry in entries
    )
