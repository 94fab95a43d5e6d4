"""Length-framed, checksummed records in a file."""

import struct
import zlib
from dataclasses import dataclass

# Payload length, checksum of the payload, checksum of the two before it.
_HEADER = struct.Struct("<III")
_HEADER_CHECKED = struct.Struct("<II")
HEADER_BYTES = _HEADER.size


@dataclass(slots=True, frozen=True)
class Scan:
    """Result of reading a file of frames.

    Attributes
    ----------
    payloads : list of bytes
        Payloads of the valid frames before `end`.
    end : int
        Offset of the first byte that is not part of a valid frame.
    damaged : bool
        True if what follows `end` cannot be the rest of one interrupted write.
    """

    payloads: list[bytes]
    end: int
    damaged: bool


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of one payload."""
    checked = _HEADER_CHECKED.pack(len(payload), zlib.crc32(payload))
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def scan_frames(data: bytes) -> Scan:
    """Read frames from the start of `data` up to the first invalid one."""
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_payload(data, offset)
        if payload is None:
            return Scan(payloads, offset, _has_later_frame(data, offset))
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(payloads, offset, False)


def _read_header(data, offset):
    """Return the payload's length and checksum, or None if the header is bad."""
    if offset + HEADER_BYTES > len(data):
        return None
    length, payload_crc, header_crc = _HEADER.unpack_from(data, offset)
    checked = data[offset : offset + _HEADER_CHECKED.size]
    if zlib.crc32(checked) != header_crc:
        return None
    return length, payload_crc


def _read_payload(data, offset):
    header = _read_header(data, offset)
    if header is None:
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header[0]]
    if len(payload) < header[0] or zlib.crc32(payload) != header[1]:
        return None
    return payload


def _has_later_frame(data, offset):
    # One frame at most is unsynced, so a torn frame is the last one. If its header
    # is whole, its length says whether more follows; otherwise search for a frame.
    header = _read_header(data, offset)
    if header is not None:
        return offset + HEADER_BYTES + header[0] < len(data)
    return any(
        _read_payload(data, later)
        for later in range(offset + 1, len(data) - HEADER_BYTES)
    )
