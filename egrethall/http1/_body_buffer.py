"""Holds a body once while it is received."""

from __future__ import annotations

import contextlib
import mmap

#: Bodies up to this length are returned as bytes.
SMALL_BODY_BYTES = 64 * 1024

#: Longer bodies are held outside the heap. Their pages return to the system at once,
#: and a growing body is not copied.
MAX_HEAP_BYTES = 256 * 1024


class BodyBuffer:
    """Holds the parts of a body that were received so far in one piece of memory."""

    def __init__(self) -> None:
        self._heap = bytearray()
        self._pages: mmap.mmap | None = None
        self._view: memoryview | None = None
        self.size_bytes = 0

    def append(self, data: bytes | bytearray) -> None:
        """Appends one part."""
        end = self.size_bytes + len(data)
        if self._pages is None and end <= MAX_HEAP_BYTES:
            self._heap += data
            self.size_bytes = end
            return
        pages = self._find_pages(end)
        pages[self.size_bytes : end] = data
        self.size_bytes = end

    def get_body(self) -> bytes | memoryview:
        """Returns the body without a copy, unless it is small."""
        if self._pages is None and self.size_bytes <= SMALL_BODY_BYTES:
            return bytes(self._heap)
        if self._view is None:
            whole = memoryview(self._heap if self._pages is None else self._pages)
            self._view = whole[: self.size_bytes]
            whole.release()
        return self._view

    def close(self) -> None:
        """Frees the memory; the body must not be used after that."""
        # A part that a cancelled task still refers to frees the memory with that task.
        with contextlib.suppress(BufferError):
            if self._view is not None:
                self._view.release()
                self._view = None
            if self._pages is not None:
                self._pages.close()
        # The frames of a cancelled task may live until the next garbage collection.
        self._heap = bytearray()

    def _find_pages(self, size_bytes: int) -> mmap.mmap:
        """Returns pages for at least ``size_bytes``; those not written take none."""
        if self._pages is None:
            self._pages = mmap.mmap(
                -1, 2 * size_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            )
            self._pages[: self.size_bytes] = self._heap
            self._heap = bytearray()
        elif len(self._pages) < size_bytes:
            self._pages.resize(2 * size_bytes)
        return self._pages
