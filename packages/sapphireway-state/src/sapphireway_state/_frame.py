"""Length-prefixed, checksummed records in a file."""

import struct
import zlib

import msgspec

# Payload length, payload checksum, and a checksum of these two fields.
_HEADER = struct.Struct("<III")
_HEADER_CHECKED = struct.Struct("<II")
HEADER_BYTES = _HEADER.size


class Scan(msgspec.Struct, frozen=True):
    """Result of scanning a file of frames.

    Attributes
    ----------
    payloads : list of bytes
        Payloads of the valid frames before `end`.
    end : int
        Offset of the first byte after the last valid frame.
    damaged : bool
        True if the bytes after `end` cannot be the result of one interrupted write.
    """

    payloads: list[bytes]
    end: int
    damaged: bool


def encode_frame(payload: bytes) -> bytes:
    """Return a frame with the payload."""
    checked = _HEADER_CHECKED.pack(len(payload), zlib.crc32(payload))
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def scan_frames(data: bytes) -> Scan:
    """Read frames from the start of `data` until the first invalid one."""
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
    """Return the payload's length and checksum, or None if the header is invalid."""
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
    # At most one frame is unsynced, so a torn frame must be the last one. A valid
    # header gives the end of the frame; otherwise search for a valid frame after it.
    header = _read_header(data, offset)
    if header is not None:
        return offset + HEADER_BYTES + header[0] < len(data)
    return any(
        _read_payload(data, later) is not None
        for later in range(offset + 1, len(data) - HEADER_BYTES + 1)
    )
