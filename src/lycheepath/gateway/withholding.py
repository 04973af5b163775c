"""
Holds the beginning of an answer back until the answer is whole.

An answer that has begun can end only whole or broken off. One that hasn't can still be
replaced by a complete failure, which is what a host that is about to end gives to callers
whose answers it can't wait for::

    withheld = WithheldAnswer(node.buffers)
    withheld.add(events)
    await caller.end_answer(head, withheld.take())
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.limits.buffers import BufferShare

if TYPE_CHECKING:
    from ..core.limits.buffers import BufferBudget


class NoRoomError(Exception):
    """Other bodies leave no room for an answer of ``size`` bytes."""

    def __init__(self, size: int) -> None:
        super().__init__(f"other bodies leave no room for an answer of {size} bytes")


class WithheldAnswer:
    """State: the events of a stream that aren't passed on yet, and their memory."""

    def __init__(self, buffers: BufferBudget) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._share = BufferShare(buffers)

    def add(self, data: bytes) -> None:
        """Hold the next events of the stream; raises NoRoomError."""
        self._size += len(data)
        if not self._share.hold(self._size):
            raise NoRoomError(self._size)
        self._parts.append(data)

    def take(self) -> bytes:
        """Return all events of the stream; their memory counts until it is released."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    def release(self) -> None:
        """Drop the bytes and give their memory back."""
        self._parts.clear()
        self._size = 0
        self._share.release()
