"""Encoding of messages as msgpack frames."""

import math
from collections.abc import Sequence
from typing import Any, Union

import msgspec

from sapphireway_protocol import (
    _calls,
    _claims,
    _control_hosts,
    _departures,
    _membership,
    _quorum,
    _quotas,
    _rollouts,
    _settings,
    _suspects,
)
from sapphireway_protocol._decoding import DECODE_ERRORS

MESSAGES = (
    *_calls.MESSAGES,
    *_claims.MESSAGES,
    *_control_hosts.MESSAGES,
    *_departures.MESSAGES,
    *_membership.MESSAGES,
    *_quorum.MESSAGES,
    *_quotas.MESSAGES,
    *_rollouts.MESSAGES,
    *_settings.MESSAGES,
    *_suspects.MESSAGES,
)

MS_PER_S = 1000


class _Header(msgspec.Struct, frozen=True, array_like=True):
    request_id: int
    reply_to: int
    incarnation: str
    clock_s: float
    settings_version: int
    uptime_ms: int
    message: Union[MESSAGES]  # noqa: UP007 (the union is computed)


class Envelope(msgspec.Struct, frozen=True):
    """A message with its metadata.

    Attributes
    ----------
    message : msgspec.Struct
        One of the registered message types.
    body : bytes
        Uninterpreted payload; empty for most messages.
    request_id : int
        Nonzero if the sender expects a reply.
    reply_to : int
        Id of the request that this message answers, or zero.
    incarnation : str
        Id of one start of the sending process.
    clock_s : float
        Time of sending on the sender's monotonic clock.
    settings_version : int
        Version of the settings tree in force at the sender.
    started_s : float
        Start time of the sender's process on the same clock.
    """

    message: Any
    body: bytes = b""
    request_id: int = 0
    reply_to: int = 0
    incarnation: str = ""
    clock_s: float = 0.0
    settings_version: int = 0
    started_s: float = 0.0


class Codec:
    """Encodes and decodes envelopes."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Header)

    def encode(self, envelope: Envelope) -> list[bytes]:
        """Encode an envelope as one frame, or two if it has a body."""
        header = _Header(
            envelope.request_id,
            envelope.reply_to,
            envelope.incarnation,
            envelope.clock_s,
            envelope.settings_version,
            int((envelope.clock_s - envelope.started_s) * MS_PER_S),
            envelope.message,
        )
        frame = self._encoder.encode(header)
        if envelope.body:
            return [frame, envelope.body]
        return [frame]

    def decode(self, frames: Sequence[bytes]) -> Envelope | None:
        """Decode frames; return None if they are not a valid message."""
        if not 1 <= len(frames) <= 2:
            return None
        try:
            header = self._decoder.decode(frames[0])
        except DECODE_ERRORS:
            return None
        if not math.isfinite(header.clock_s):
            return None  # no clock could be compared with it
        return Envelope(
            header.message,
            frames[1] if len(frames) == 2 else b"",
            header.request_id,
            header.reply_to,
            header.incarnation,
            header.clock_s,
            header.settings_version,
            header.clock_s - header.uptime_ms / MS_PER_S,
        )
