"""
Tracks which targets have asked not to be sent requests, and for how long.

A draining target says so in its answers and gets no more requests from this host
until a new instance takes its place, whatever its announcement says. A target that
refuses a request may name a time for which it accepts no more from this host. A
target is gone if another one answers at its address. A peer's report that a target
is draining or gone counts for ``PEER_REPORT_TTL_S`` only: it is a single
observation, and a wrong one must not exclude a target for good. Refusals that apply
to one host aren't reported to peers::

    availability.record_draining(now)
    availability.is_withdrawn(now)
    availability.busy_s(now)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..catalog.catalog import is_new_instance
from .brittleness import Brittleness, Room
from .rate_limit import RateLimit

if TYPE_CHECKING:
    from ..catalog.model import TargetEntry

# Validity of a peer's report, in seconds: an entry lapses after three intervals of
# 1.2 s, and a lapse is read within another second.
PEER_REPORT_TTL_S = 5.0
# Maximum number of instances that are kept after their announcement has ended, as
# they may return under their ids.
MAX_SAVED = 1024


@dataclass(slots=True)
class Availability:
    """
    Whether one instance of a target accepts requests from this host.

    ``leaving`` means that the instance is draining, and stays set for its lifetime.
    ``refused_until`` and ``withdrawn_until`` are times of this host's monotonic
    clock. ``observed_at`` is when this host itself last saw the target draining or
    gone. ``rate_limit`` is the request rate that the instance accepts, ``brittleness``
    and ``room`` whether it falls over when it turns too much away, and for how much it
    has room. ``unreadable_headers`` are the invalid headers of its answers that were logged.
    """

    leaving: bool = False
    refused_until: float = float("-inf")
    withdrawn_until: float = float("-inf")
    observed_at: float = float("-inf")
    rate_limit: RateLimit = field(default_factory=RateLimit)
    brittleness: Brittleness = field(default_factory=Brittleness)
    room: Room = field(default_factory=Room)
    unreadable_headers: set[str] = field(default_factory=set)

    def record_draining(self, now: float) -> bool:
        """Record that the target says it is draining; return whether that is new."""
        self.observed_at = now
        return self.apply_leaving()

    def apply_leaving(self) -> bool:
        """Apply that the target has said it is draining; return whether that is new."""
        known, self.leaving = self.leaving, True
        return not known

    def record_gone(self, now: float) -> bool:
        """Record that another target has its address; return whether that is new."""
        self.observed_at = now
        return self.apply_gone_report(now)

    def apply_gone_report(self, now: float) -> bool:
        """Apply a peer's report that the target is draining or gone, for a while."""
        if self.leaving or now < self.withdrawn_until:
            return False
        self.withdrawn_until = now + PEER_REPORT_TTL_S
        return True

    def record_refusal(self, wait_s: float, now: float) -> bool:
        """
        Record that the target refuses requests for a time; return if that is new.

        The latest end of all named times applies: a shorter time that is named later
        doesn't revoke an earlier one.
        """
        new = self.busy_s(now) == 0.0
        self.refused_until = max(self.refused_until, now + wait_s)
        return new

    def is_withdrawn(self, now: float) -> bool:
        """Whether the target is draining or gone."""
        return self.leaving or now < self.withdrawn_until

    def busy_s(self, now: float) -> float:
        """Return how long the target still refuses requests from this host."""
        return max(0.0, self.refused_until - now)

    def is_available(self, now: float) -> bool:
        """Whether the target isn't withdrawn, refusing requests, at its limit or full."""
        if self.is_withdrawn(now) or now < self.refused_until:
            return False
        return now >= self.room.full_until and self.rate_limit.may_ask(now)


class SavedAvailability:
    """Availability of targets that aren't announced at the moment."""

    def __init__(self) -> None:
        self._saved: dict[str, tuple[TargetEntry, Availability]] = {}

    def save(
        self,
        entry: TargetEntry,
        availability: Availability,
        now: float,
        in_use: bool = False,
    ) -> None:
        """
        Save the availability of a removed target, dropping the oldest ones.

        A target that is ``in_use`` may still say something about itself.
        """
        stated = availability.rate_limit.rate, availability.brittleness.limit
        if not in_use and availability.is_available(now) and stated == (None, None):
            return
        self._saved.pop(entry.id, None)
        self._saved[entry.id] = entry, availability
        while len(self._saved) > MAX_SAVED:
            del self._saved[next(iter(self._saved))]

    def find(self, target_id: str) -> Availability | None:
        """Return the saved availability of a target, or None."""
        saved = self._saved.get(target_id)
        return None if saved is None else saved[1]

    def restore(self, entry: TargetEntry) -> Availability:
        """Return the availability of an announced target, a new one by default."""
        before, availability = self._saved.pop(entry.id, (entry, Availability()))
        return Availability() if is_new_instance(before, entry) else availability
