"""Encoding of tree updates: whole trees and deltas."""

import hashlib
import itertools
from collections.abc import Iterable
from typing import Any

import msgspec

from sapphireway_protocol import DECODE_ERRORS
from sapphireway_state._edits import SetValue, UnsetValue


class WholeTree(msgspec.Struct, frozen=True, tag="tree", array_like=True):
    """One version of the tree.

    Attributes
    ----------
    version : int
    tree : dict
    digest : bytes
        `digest_tree` of the tree.
    """

    version: int
    tree: dict[str, Any]
    digest: bytes


class Delta(msgspec.Struct, frozen=True, tag="delta", array_like=True):
    """Operations that lead from one version of the tree to a later one.

    Attributes
    ----------
    since : int
        Version that the operations are applied to.
    version : int
        Version of the resulting tree.
    operations : list of SetValue or UnsetValue
    digest : bytes
        `digest_tree` of the tree at `version`.
    """

    since: int
    version: int
    operations: list[SetValue | UnsetValue]
    digest: bytes


Update = WholeTree | Delta

_decoder = msgspec.msgpack.Decoder(Update)


class Step(msgspec.Struct, frozen=True):
    """Operations between two consecutive versions."""

    since: int
    version: int
    operations: tuple[SetValue | UnsetValue, ...]


def digest_tree(tree: dict[str, Any]) -> bytes:
    """Return a 16-byte digest of a tree."""
    content = msgspec.msgpack.encode(tree, order="deterministic")
    return hashlib.sha256(content).digest()[:16]


def encode_update(
    tree: dict[str, Any], version: int, digest: bytes, steps: Iterable[Step], since: int
) -> bytes:
    """Encode the whole tree or the delta from `since`, whichever is shorter.

    Parameters
    ----------
    tree : dict
    version : int
        Version of `tree`.
    digest : bytes
        Digest of `tree`.
    steps : iterable of Step
        Known steps, oldest first; the last one results in `version`.
    since : int
        Version in force at the receiver.

    Returns
    -------
    bytes
        An encoded `Update`.
    """
    whole = msgspec.msgpack.encode(WholeTree(version, tree, digest))
    chain = list(itertools.dropwhile(lambda step: step.since != since, steps))
    if not chain:
        return whole
    operations = [operation for step in chain for operation in step.operations]
    delta = msgspec.msgpack.encode(Delta(since, version, operations, digest))
    return min(delta, whole, key=len)


def decode_update(content: bytes) -> Update | None:
    """Return the update, or None if `content` cannot be decoded."""
    try:
        return _decoder.decode(content)
    except DECODE_ERRORS:
        return None
