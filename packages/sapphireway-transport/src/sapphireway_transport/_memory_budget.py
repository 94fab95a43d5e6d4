"""Memory for callers' requests, and for answers that a process is receiving.

Copies that links to other nodes make, and bodies that these send, are not counted.
"""

MIB = 1024 * 1024
# A body of 64 MB must fit, on the smallest hosts with the copy that a link makes of it.
BODIES_MAX_BYTES = 76 * MIB
BODIES_MIN_BYTES = 4 * MIB
# Of a process without requests: interpreter, tables, links to all other nodes.
PROCESS_BYTES = 48 * MIB
COPIES = 2  # a body, and its copy in a link
# Kept free for requests with small bodies while large ones take the rest.
SMALL_RESERVE_BYTES = 8 * MIB
SMALL_RESERVE_SHARE = 8  # one part in so many, where it is less
HEADS_SHARE = 64  # one part in so many is left for heads beside the largest body
LARGE_BODY_BYTES = 256 * 1024
# What a header or another small object takes beside its bytes.
OBJECT_BYTES = 200
# What a request takes beside its head and body until it is answered: its task, its
# attempts, and what is noted of them.
REQUEST_BYTES = 8 * 1024


class MemoryBudget:
    """Bytes that are held for requests, and for answers while they arrive.

    Parameters
    ----------
    max_bytes : int
    small_reserve_bytes : int, default=0
        Bytes of it that large bodies can't reserve.

    Attributes
    ----------
    used_bytes : int
    """

    __slots__ = ("_max_bytes", "_small_reserve_bytes", "used_bytes")

    def __init__(self, max_bytes: int, small_reserve_bytes: int = 0):
        self._max_bytes = max_bytes
        self._small_reserve_bytes = small_reserve_bytes
        self.used_bytes = 0

    @property
    def body_max_bytes(self) -> int:
        """Size of a body that fits while little else is held."""
        room = self._max_bytes // HEADS_SHARE + REQUEST_BYTES
        return self._max_bytes - self._small_reserve_bytes - room

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than allowed."""
        return self.used_bytes > self._max_bytes

    def reserve(self, size: int, total: int = 0) -> bool:
        """Take `size` bytes if they are free.

        Parameters
        ----------
        size : int
        total : int, default=0
            What the owner takes with them, which decides whether it is large.
        """
        limit = self._max_bytes
        if max(size, total) > LARGE_BODY_BYTES:
            limit -= self._small_reserve_bytes
        if self.used_bytes + size > limit:
            return False
        self.used_bytes += size
        return True

    def add(self, size: int) -> None:
        """Take `size` bytes in any case."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Give back `size` bytes."""
        self.used_bytes -= size


def make_body_budget(memory_bytes: int | None = None) -> MemoryBudget:
    """Return the budget that the listeners and clients of a process share.

    Parameters
    ----------
    memory_bytes : int, optional
        Of the host; by default as much as the largest body needs.
    """
    max_bytes = BODIES_MAX_BYTES
    if memory_bytes is not None:
        free_bytes = (memory_bytes - PROCESS_BYTES) // COPIES
        max_bytes = max(BODIES_MIN_BYTES, min(max_bytes, free_bytes))
    reserve = min(SMALL_RESERVE_BYTES, max_bytes // SMALL_RESERVE_SHARE)
    return MemoryBudget(max_bytes, reserve)
