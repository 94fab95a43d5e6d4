"""Publications of routing tables as a deterministic, replicated state machine."""

import collections

import msgspec

from sapphireway_protocol import DECODE_ERRORS, decode_msgpack
from sapphireway_state._invariants import check_invariant
from sapphireway_state._problems import Problem
from sapphireway_state._routes import RouteTable, check_table

PUBLICATIONS_MAX = 20_000  # digests of accepted orders; 0.5 MB in a snapshot


class Publish(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order to replace the table with number `base`.

    Attributes
    ----------
    digest : bytes
        Identifies the order; a resent order has the same digest.
    base : int
        Number of the table that the order is based on; 0 for none.
    table : RouteTable
    """

    digest: bytes
    base: int
    table: RouteTable


class Published(msgspec.Struct, frozen=True, tag="published"):
    """The order was accepted, now or when it was first sent."""

    number: int


class Superseded(msgspec.Struct, frozen=True, tag="superseded"):
    """The current table is not the one that the order is based on."""

    number: int


class Unpublishable(msgspec.Struct, frozen=True, tag="unpublishable"):
    """The table is invalid."""

    problems: list[Problem]


PublishResult = Published | Superseded | Unpublishable


class CurrentTable(msgspec.Struct, frozen=True):
    """The current table, and the number of the queried order if it was accepted."""

    table: RouteTable
    accepted: int | None = None


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    table: RouteTable
    accepted: list[tuple[bytes, int]]


_publish_decoder = msgspec.msgpack.Decoder(Publish)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def encode_publish(publish: Publish) -> bytes:
    """Encode an order as a journal command."""
    return msgspec.msgpack.encode(publish)


def decode_publish_result(content: bytes) -> PublishResult | None:
    """Return an answer of `RouteMachine.apply`, or None if it is malformed."""
    return decode_msgpack(content, PublishResult)


def decode_current_table(content: bytes) -> CurrentTable | None:
    """Return an answer of `RouteMachine.read`, or None if it is malformed."""
    return decode_msgpack(content, CurrentTable)


class RouteMachine:
    """Applies publications in journal order; equal journals give equal states.

    Attributes
    ----------
    table : RouteTable
        Current table; its number is 0 before the first publication.
    version : int
        Journal index of the last accepted publication.
    """

    __slots__ = ("_accepted", "table", "version")

    def __init__(self):
        self._accepted = collections.OrderedDict()
        self.table = RouteTable()
        self.version = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply an encoded `Publish` and return the encoded `PublishResult`."""
        check_invariant(
            index > self.version, f"index {index} is not above {self.version}"
        )
        return msgspec.msgpack.encode(self._apply(index, command))

    def read(self, digest: bytes) -> bytes:
        """Return an encoded `CurrentTable`; `digest` is that of the queried order."""
        accepted = self._accepted.get(digest)
        return msgspec.msgpack.encode(CurrentTable(self.table, accepted))

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        accepted = list(self._accepted.items())
        return msgspec.msgpack.encode(_Snapshot(self.version, self.table, accepted))

    def restore(self, content: bytes) -> None:
        """Replace the state with a snapshot."""
        snapshot = _snapshot_decoder.decode(content)
        self.version = snapshot.version
        self.table = snapshot.table
        self._accepted = collections.OrderedDict(snapshot.accepted)

    def _apply(self, index, command):
        try:
            publish = _publish_decoder.decode(command)
        except DECODE_ERRORS as error:
            return Unpublishable([Problem("", str(error), "a publication")])
        number = self._accepted.get(publish.digest)
        if number is not None:
            return Published(number)
        if publish.base != self.table.number:
            return Superseded(self.table.number)
        problems = check_table(publish.table)
        if publish.table.number <= self.table.number:
            wrong = f"number {publish.table.number} is not new"
            problems.append(Problem("", wrong, f"more than {self.table.number}"))
        if problems:
            return Unpublishable(problems)
        self.table = publish.table
        self.version = index
        self._accepted[publish.digest] = publish.table.number
        if len(self._accepted) > PUBLICATIONS_MAX:
            self._accepted.popitem(last=False)
        return Published(publish.table.number)
