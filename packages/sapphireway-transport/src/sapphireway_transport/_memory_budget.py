"""Memory for callers' requests, and for answers that a process is receiving.

Copies that links to other nodes make, and bodies that these send, are not counted.
"""

# A body of 64 MB must fit, on the smallest hosts with the copy that a link makes of it.
BODIES_MAX_BYTES = 76 * 1024 * 1024
# Kept free for requests with small bodies while large ones take the rest.
SMALL_RESERVE_BYTES = 8 * 1024 * 1024
HEADS_SHARE = 64  # one part in so many is left for heads beside the largest body
LARGE_BODY_BYTES = 256 * 1024
# What a header or another small object takes beside its bytes.
OBJECT_BYTES = 200


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
        room = self._max_bytes // HEADS_SHARE
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


def make_body_budget() -> MemoryBudget:
    """Return the budget that the listeners and clients of a process share."""
    return MemoryBudget(BODIES_MAX_BYTES, SMALL_RESERVE_BYTES)
