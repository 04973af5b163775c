"""
Bounds the memory of all bodies that a process holds at the same time.

Each body has a limit of its own; many of them together may still exceed the memory of the
process. Whoever holds more than ``UNCOUNTED_BYTES`` of one takes the rest from a budget::

    budget = BufferBudget(50 << 20)
    if not budget.take(size):
        ...  # refuse, or pass on what there is
    budget.give_back(size)
"""

from __future__ import annotations

# Beginning of each body that isn't counted, so that small ones are always accepted.
UNCOUNTED_BYTES = 65_536


class BufferBudget:
    """State: the bytes that are held, and the largest number of them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, count: int) -> bool:
        """Take bytes from the budget; return False, taking none, if it has too few."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Give back bytes that were taken."""
        self.used_bytes -= count


class BufferShare:
    """What one body has taken from the budget."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._taken = 0

    def hold(self, size: int) -> bool:
        """Take what a body of ``size`` bytes needs; return False if there is too little."""
        missing = size - UNCOUNTED_BYTES - self._taken
        if missing <= 0:
            return True
        if not self._budget.take(missing):
            return False
        self._taken += missing
        return True

    def release(self) -> None:
        """Give all of it back."""
        self._budget.give_back(self._taken)
        self._taken = 0
