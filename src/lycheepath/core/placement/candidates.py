"""
Selects the targets of a region that are compared for one request.

The cost of comparing all targets grows with their number, and so does the cost of
querying their coordinators. A few candidates suffice: the owners of the prompt's
shared part, which are the same on all hosts, and some drawn at random, of which
the least loaded is nearly as good as the least loaded of all. Where two shared
parts have owners in common, the random candidates spread their load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ..serving.requests import Prompt
    from .registry import TargetState

# Targets that own a shared part, by rank; the second one takes what the first can't.
OWNERS_PER_PART = 2
# Random candidates for a prompt with an owned part, and for one without.
DRAWN_WITH_OWNERS = 2
DRAWN_WITHOUT_OWNERS = 3
# Minimum length in tokens of a shared part that has owners; shorter ones are read
# anywhere.
MIN_OWNED_TOKENS = 1000
# Maximum number of shared parts whose ranking is cached.
MAX_REMEMBERED_PARTS = 4096


def find_shared_part(prompt: Prompt | None) -> str:
    """Return the id of a prompt's last shared part, or "" if it has no owner."""
    if prompt is None or len(prompt.parts) < 2:
        return ""
    shared = sum(part.tokens for part in prompt.parts[:-1])
    return prompt.parts[-2].id if shared >= MIN_OWNED_TOKENS else ""


class OwnerRanking:
    """Cache of a service's targets ranked for a shared part."""

    def __init__(self) -> None:
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}

    def clear(self) -> None:
        """Drop all rankings; called when the set of targets has changed."""
        self._ranked.clear()

    def rank(
        self, service: str, part: str, targets: Sequence[TargetState]
    ) -> tuple[str, ...]:
        """Return the highest ranked targets for a part, the same on all hosts."""
        key = service, part
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MAX_REMEMBERED_PARTS:
                self._ranked.clear()
            # More than the owners, as some may not accept requests at the moment.
            ranked = rank(part, (t.entry.id for t in targets))[: 3 * OWNERS_PER_PART]
            self._ranked[key] = ranked
        return ranked


def put_idler_first(
    picked: Sequence[TargetState], now: float, random: Random
) -> list[TargetState]:
    """
    Return candidates in a random order, the first one less utilized than the second.

    The first one is chosen if it isn't busy, so a fixed order of a few targets would
    leave most of them unused.
    """
    ordered = random.sample(picked, len(picked))
    if len(ordered) > 1:
        first, second = (
            t.count_in_flight(now) / max(1, t.entry.slots) for t in ordered[:2]
        )
        if second < first:
            ordered[:2] = ordered[1::-1]
    return ordered


def pick_candidates(
    targets: Sequence[TargetState], owners: Sequence[str], random: Random
) -> list[TargetState]:
    """Return the candidates among the targets that may be sent to now."""
    by_id = {target.entry.id: target for target in targets}
    picked = [by_id[name] for name in owners if name in by_id][:OWNERS_PER_PART]
    draw_count = DRAWN_WITH_OWNERS if picked else DRAWN_WITHOUT_OWNERS
    chosen = {target.entry.id for target in picked}
    rest = [target for target in targets if target.entry.id not in chosen]
    picked += random.sample(rest, draw_count) if len(rest) > draw_count else rest
    return picked
