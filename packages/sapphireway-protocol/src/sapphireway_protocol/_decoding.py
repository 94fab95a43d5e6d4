"""Decoding of content that comes from outside of the process."""

from typing import Any

import msgspec

DECODE_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,  # the content nests too deeply
    ValueError,
    TypeError,
    OverflowError,
)
"""What a decoder raises for content that isn't a valid value of its type."""


def decode_json(content: bytes, content_type: Any) -> Any:
    """Return the decoded value.

    Raises
    ------
    ValueError
        If `content` isn't a valid value of the type.
    """
    try:
        return msgspec.json.decode(content, type=content_type)
    except ValueError:
        raise
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error


def decode_msgpack(content: bytes, content_type: Any) -> Any:
    """Return the decoded value, or None if `content` isn't a valid one."""
    try:
        return msgspec.msgpack.decode(content, type=content_type)
    except DECODE_ERRORS:
        return None
