"""
Holds the beginning of an answer back until the answer is whole.

An answer that has begun can end only whole or broken off. One that hasn't can still be
replaced by a complete failure, which is what a host that is about to end gives to callers
whose answers it can't wait for::

    withheld = WithheldAnswer(node.buffers)
    withheld.add(events)
    require_delivery(withheld.size, count_send_room(caller.stream), left_s)
    await caller.end_answer(head, withheld.take())
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.limits.buffers import BufferShare

if TYPE_CHECKING:
    from ..core.limits.buffers import BufferBudget

# Slowest reading of callers, in bytes a second, for which an answer that is whole is begun.
MIN_READ_BYTES_S = 262_144


class UndeliverableError(Exception):
    """An answer that is withheld won't be passed on; its target isn't at fault."""


class NoRoomError(UndeliverableError):
    """Other bodies leave no room for an answer of ``size`` bytes."""

    def __init__(self, size: int) -> None:
        super().__init__(f"other bodies leave no room for an answer of {size} bytes")


class SlowDeliveryError(UndeliverableError):
    """A caller may not have read an answer of ``size`` bytes within ``left_s``."""

    def __init__(self, size: int, left_s: float) -> None:
        super().__init__(
            f"the caller may not read {size} bytes in the {left_s:.1f} s that are left"
        )


def require_delivery(size: int, send_room: int, left_s: float) -> None:
    """
    Raise SlowDeliveryError unless an answer of ``size`` bytes can be delivered in time.

    The kernel takes ``send_room`` bytes at once and delivers them on its own. The rest is
    sent while the caller reads.
    """
    if size - send_room > MIN_READ_BYTES_S * left_s:
        raise SlowDeliveryError(size, left_s)


class WithheldAnswer:
    """State: the events of a stream that aren't passed on yet, and their memory."""

    def __init__(self, buffers: BufferBudget) -> None:
        self._parts: list[bytes] = []
        self.size = 0
        self._share = BufferShare(buffers)

    def add(self, data: bytes) -> None:
        """Hold the next events of the stream; raises NoRoomError."""
        self.size += len(data)
        if not self._share.hold(self.size):
            raise NoRoomError(self.size)
        self._parts.append(data)

    def take(self) -> bytes:
        """Return all events of the stream; their memory counts until it is released."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    def release(self) -> None:
        """Drop the bytes and give their memory back."""
        self._parts.clear()
        self.size = 0
        self._share.release()
