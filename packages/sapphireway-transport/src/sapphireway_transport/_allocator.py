"""Settings of the C library's memory allocator."""

import ctypes

# Parameters of glibc's `mallopt`.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1024
FREE_TOP_BYTES = 1024 * 1024  # kept at the end of the heap, so that it moves rarely


def separate_large_blocks() -> bool:
    """Let large blocks grow in place, and be given back to the system when freed.

    By default, glibc takes ever larger blocks from the heap once one was freed. Bodies
    that grow beside each other are then copied, and leave holes that none of them fits.

    Returns
    -------
    bool
        False if the C library has no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        and mallopt(M_TRIM_THRESHOLD, FREE_TOP_BYTES)
    )
