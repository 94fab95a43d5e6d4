"""Remembers the answers of a bounded number of edits."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

ANSWERS_MAX = 1_000
ANSWERS_MAX_BYTES = 1024 * 1024


class RememberedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to an edit.

    Attributes
    ----------
    edit_id : str
    index : int
        Journal position at which the edit was first applied.
    digest : bytes
        `digest_edit` of the edit.
    answer : bytes
    """

    edit_id: str
    index: int
    digest: bytes
    answer: bytes


class AnswerWindow:
    """The last answers, oldest forgotten first.

    An edit is first applied at a position after its base. So the answer of an
    edit with a base of at least `oldest_base` is still here, if it had one.

    Attributes
    ----------
    oldest_base : int
        Journal position of the last answer that was forgotten.
    """

    __slots__ = ("_answers", "_bytes", "oldest_base")

    def __init__(self, answers: Iterable[RememberedAnswer], oldest_base: int):
        self._answers = OrderedDict((answer.edit_id, answer) for answer in answers)
        self._bytes = sum(map(_measure, self._answers.values()))
        self.oldest_base = oldest_base

    def find(self, edit_id: str) -> RememberedAnswer | None:
        """Return the first answer to an edit, if it is remembered."""
        return self._answers.get(edit_id)

    def add(self, answer: RememberedAnswer) -> None:
        """Remember an answer and forget the oldest ones beyond the bounds."""
        self._answers[answer.edit_id] = answer
        self._bytes += _measure(answer)
        while len(self._answers) > ANSWERS_MAX or self._bytes > ANSWERS_MAX_BYTES:
            _, forgotten = self._answers.popitem(last=False)
            self._bytes -= _measure(forgotten)
            self.oldest_base = forgotten.index

    def list_all(self) -> list[RememberedAnswer]:
        """Return the answers, oldest first."""
        return list(self._answers.values())


def _measure(answer):
    return len(answer.edit_id) + len(answer.digest) + len(answer.answer)
