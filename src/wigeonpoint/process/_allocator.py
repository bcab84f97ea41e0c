"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

_M_MMAP_THRESHOLD = -3  # parameter number in glibc's malloc.h
LARGE_BLOCK_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Makes the allocator return each large block to the system as soon as it is freed.

    By default glibc keeps freed blocks of a size that has occurred before in its heap, which large
    messages then fragment. Does nothing with another C library.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    set_option(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
