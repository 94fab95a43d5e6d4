"""Snapshots of the state machine."""

import msgspec

from sapphireway_protocol import QuorumMember
from sapphireway_state._frame import encode_frame, scan_frames

SNAPSHOT_NAME = "snapshot"


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine after one journal entry.

    Attributes
    ----------
    index, term : int
        The last entry that it covers.
    members : list of QuorumMember
        Members of the quorum as of that entry.
    data : bytes
        What the state machine gave.
    """

    index: int
    term: int
    members: list[QuorumMember]
    data: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    return encode_frame(msgspec.msgpack.encode(snapshot))


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot, or None if the content is damaged."""
    scan = scan_frames(data)
    if scan.end < len(data) or len(scan.payloads) != 1:
        return None
    return msgspec.msgpack.decode(scan.payloads[0], type=Snapshot)
