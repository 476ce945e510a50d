"""Memory of this process."""

import contextlib
import ctypes
import pathlib
import resource

# Parameter of mallopt(3) for the size from which blocks are mapped one by one.
_M_MMAP_THRESHOLD = -3

# Size in bytes from which a freed block is returned to the system at once.
RETURNED_BLOCK_BYTES = 256 * 1024

_STATM = pathlib.Path("/proc/self/statm")


def return_large_blocks() -> None:
    """Has the C library return large blocks to the system when they are freed.

    By default glibc raises the size from which it does so to that of the blocks
    it sees. Small blocks then split the space of freed bodies, and the heap
    grows with each next body. Other C libraries are left as they are.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES)


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes; 0 if unknown."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
