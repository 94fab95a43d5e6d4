"""A bounded window of answers to recent edits, used to deduplicate resends."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

ANSWERS_MAX = 1_000
ANSWERS_MAX_BYTES = 1024 * 1024


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to an edit.

    Attributes
    ----------
    edit_id : str
    index : int
        Journal index at which the edit was first applied.
    digest : bytes
        `digest_edit` of the edit.
    answer : bytes
    """

    edit_id: str
    index: int
    digest: bytes
    answer: bytes


class AnswerWindow:
    """The most recent answers; the oldest are evicted first.

    Every edit is applied at an index above its base, so the answer to an applied
    edit whose base is at least `oldest_base` has not been evicted.

    Attributes
    ----------
    oldest_base : int
        Journal index of the last answer that was evicted.
    """

    __slots__ = ("_answers", "_bytes", "oldest_base")

    def __init__(self, answers: Iterable[StoredAnswer], oldest_base: int):
        self._answers = OrderedDict((answer.edit_id, answer) for answer in answers)
        self._bytes = sum(map(_count_bytes, self._answers.values()))
        self.oldest_base = oldest_base

    def find(self, edit_id: str) -> StoredAnswer | None:
        """Return the first answer to an edit, if it is stored."""
        return self._answers.get(edit_id)

    def add(self, answer: StoredAnswer) -> None:
        """Add an answer and evict the oldest ones beyond the limits."""
        self._answers[answer.edit_id] = answer
        self._bytes += _count_bytes(answer)
        while len(self._answers) > ANSWERS_MAX or self._bytes > ANSWERS_MAX_BYTES:
            _, evicted = self._answers.popitem(last=False)
            self._bytes -= _count_bytes(evicted)
            self.oldest_base = evicted.index

    def list_all(self) -> list[StoredAnswer]:
        """Return the answers, oldest first."""
        return list(self._answers.values())


def _count_bytes(answer):
    return len(answer.edit_id) + len(answer.digest) + len(answer.answer)
