"""What the host of a process allows it: memory and descriptors."""

import resource
from pathlib import Path

MEMORY_FILE = Path("/proc/meminfo")
UNKNOWN_MEMORY_BYTES = 1 << 40
UNLIMITED_DESCRIPTORS = 1 << 20


def read_memory_bytes() -> int:
    """Return the memory of this host in bytes; a large number if it isn't known."""
    try:
        lines = MEMORY_FILE.read_text().splitlines()
    except OSError:
        return UNKNOWN_MEMORY_BYTES
    for line in lines:
        name, _, value = line.partition(":")
        if name == "MemTotal":
            return int(value.split()[0]) * 1024
    return UNKNOWN_MEMORY_BYTES


def read_descriptors(told: int = 0) -> int:
    """Return how many descriptors this process may have open.

    Parameters
    ----------
    told : int
        Number that the settings allow; 0 for the limit of the process.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        limit = UNLIMITED_DESCRIPTORS
    return min(told or limit, limit)
