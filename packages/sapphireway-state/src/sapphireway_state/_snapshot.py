"""Snapshots of the replicated state machine."""

import msgspec

from sapphireway_protocol import QuorumMember, decode_msgpack
from sapphireway_state._frame import encode_frame, scan_frames

SNAPSHOT_NAME = "snapshot"


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after one journal entry.

    Attributes
    ----------
    index, term : int
        Index and term of the last entry covered.
    members : list of QuorumMember
        Quorum members as of that entry.
    data : bytes
        Encoded state of the state machine.
    """

    index: int
    term: int
    members: list[QuorumMember]
    data: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    return encode_frame(msgspec.msgpack.encode(snapshot))


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot, or None if the content is corrupt."""
    scan = scan_frames(data)
    if scan.end < len(data) or len(scan.payloads) != 1:
        return None
    return decode_msgpack(scan.payloads[0], Snapshot)
