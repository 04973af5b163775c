"""
Which targets of its region a host looks at for one request.

A choice among all targets costs more the more there are, and an answer of each
keeper more still. A few suffice: the owners of the prompt's shared part, which
are the same on all hosts, and some drawn at random, of which the least loaded is
nearly as good as the least loaded of all. Where two shared parts have owners in
common, the draw spreads them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ..serving.requests import Prompt
    from .registry import TargetState

# Targets that own a shared part, in falling order; the second one takes what the
# first can't.
OWNERS_PER_PART = 2
# Drawn beside the owners, and where nothing has an owner.
DRAWN = 2
DRAWN_ALONE = 3
# Shared parts that are shorter, in tokens, are read anywhere.
LEAST_OWNED_TOKENS = 1000
# Shared parts whose owners are remembered.
MOST_REMEMBERED = 4096


def find_shared_part(prompt: Prompt | None) -> str:
    """Return the id of the last shared part of a prompt that is worth an owner."""
    if prompt is None or len(prompt.parts) < 2:
        return ""
    shared = sum(part.tokens for part in prompt.parts[:-1])
    return prompt.parts[-2].id if shared >= LEAST_OWNED_TOKENS else ""


class Owners:
    """State: the targets of a service in the order of their weight for a part."""

    def __init__(self) -> None:
        self._ranked: dict[tuple[str, str], tuple[str, ...]] = {}

    def forget(self) -> None:
        """Forget all; other targets are announced."""
        self._ranked.clear()

    def rank(
        self, service: str, part: str, targets: Sequence[TargetState]
    ) -> tuple[str, ...]:
        """Return the first targets for a part, the same on all hosts."""
        key = service, part
        held = self._ranked.get(key)
        if held is None:
            if len(self._ranked) >= MOST_REMEMBERED:
                self._ranked.clear()
            # Some may be closed at the moment.
            held = rank(part, (t.entry.id for t in targets))[: 3 * OWNERS_PER_PART]
            self._ranked[key] = held
        return held


def pick_candidates(
    targets: Sequence[TargetState], owners: Sequence[str], random: Random
) -> list[TargetState]:
    """Return the targets to look at, of those that may be sent to now."""
    by_id = {target.entry.id: target for target in targets}
    picked = [by_id[name] for name in owners if name in by_id][:OWNERS_PER_PART]
    most = DRAWN if picked else DRAWN_ALONE
    chosen = {target.entry.id for target in picked}
    rest = [target for target in targets if target.entry.id not in chosen]
    picked += random.sample(rest, most) if len(rest) > most else rest
    return picked
