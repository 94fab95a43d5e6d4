"""In-memory control client with one state machine and no quorum."""

from collections.abc import Sequence

from sapphireway_coordination import (
    TREE_PREFIX,
    Committed,
    ControlMachine,
    ReadResult,
    Unavailable,
)
from sapphireway_state import Edit, SetValue, encode_edit


class MemoryControlClient:
    """Applies commands at once.

    Parameters
    ----------
    services : sequence of str
        Services in the settings tree.

    Attributes
    ----------
    machine : ControlMachine
    index : int
        Journal index of the last command.
    answers_to_lose : int
        Number of next commands that are applied but answered with `Unavailable`.
    unavailable : bool
        Whether everything fails for lack of a quorum.
    """

    __slots__ = ("answers_to_lose", "index", "machine", "unavailable")

    def __init__(self, services: Sequence[str]):
        self.answers_to_lose = 0
        self.index = 0
        self.machine = ControlMachine()
        self.unavailable = False
        operations = [SetValue(f"services/{name}", {}) for name in services]
        edit = Edit("services", 0, operations, "operator")
        self.apply(TREE_PREFIX + encode_edit(edit))

    def apply(self, command: bytes) -> bytes:
        """Apply a command and return the machine's answer."""
        self.index += 1
        return self.machine.apply(self.index, command)

    async def propose(self, command: bytes, timeout_s: float):
        """Apply a command as if it was committed."""
        if self.unavailable:
            return Unavailable("no quorum")
        result = self.apply(command)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Unavailable("the leader was lost", maybe_applied=True)
        return Committed(self.index, result)

    async def read(self, query: bytes, timeout_s: float):
        """Read from the machine."""
        if self.unavailable:
            return Unavailable("no quorum")
        return ReadResult(self.index, self.machine.read(query))
