"""
Cuts of hosts from the targets, and the check that their callers are served.

Cuts follow each other: of some hosts, of all of a zone, of some hosts from half of the
targets, or of some hosts twice in a row. Callers, the store and other hosts go on
reaching a host that is cut off. The check counts as the platform does::

    cuts = draw_cuts(hosts=6, targets=12, seconds=20.0, share=0.5, seed=7)
    find_cut_off([AppliedCut(frozenset({"east-a-1"}), 10.0, 19.0)], tries)
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from standins.site import REGIONS

from .limits import CONTACT_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Durations of a cut, and time until the next one or until its repetition.
CUT_S = (3.0, 8.0, 11.0)
GAP_S = (1.0, 5.0)
REPEAT_S = (0.3, 1.5)
# The part of the share served at other hosts that hosts which are cut off must serve.
MIN_RATIO = 2 / 3
# Failures that are allowed at hosts that are cut off: a number, and a share of all tries.
MAX_FAILED = 10
MAX_FAILED_SHARE = 0.02


class CutKind(Enum):
    """What becomes of the connections of a host to targets."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse-new"
    HANG_OPEN = "hang-open"


class CutScope(Enum):
    """Which hosts are cut off from which targets."""

    SOME = "some"
    ZONE = "zone"
    SOME_TARGETS = "some-targets"
    TWICE = "twice"


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut to come, with the numbers of its hosts and targets."""

    at_s: float
    duration_s: float
    kind: CutKind
    scope: CutScope
    hosts: tuple[int, ...]
    targets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class AppliedCut:
    """The hosts that were cut off; not ``whole`` if they reached some targets."""

    hosts: frozenset[str]
    since: float
    until: float
    whole: bool = True


@dataclass(frozen=True, slots=True)
class FirstTry:
    """A caller's first try at a host without a fault of its own."""

    at: float
    host: str
    served: bool


def draw_cuts(
    hosts: int, targets: int, seconds: float, share: float, seed: int
) -> tuple[Cut, ...]:
    """Return the cuts of a run; ``share`` is that of the hosts in one cut."""
    if share <= 0.0 or hosts < 2:
        return ()
    draw = random.Random(f"cuts/{seed}")
    cuts: list[Cut] = []
    at_s = draw.uniform(0.0, GAP_S[0])
    while at_s < seconds:
        scope = draw.choice(list(CutScope))
        kind = draw.choice(list(CutKind))
        taken = min(hosts - 1, max(1, round(share * hosts)))
        numbers = sorted(draw.sample(range(hosts), taken))
        if scope is CutScope.ZONE:
            zone = draw.randrange(min(len(REGIONS), hosts))
            numbers = list(range(zone, hosts, len(REGIONS)))
        reached = range(targets)
        if scope is CutScope.SOME_TARGETS:
            reached = range(draw.randrange(2), targets, 2)
        for _ in range(2 if scope is CutScope.TWICE else 1):
            duration_s = draw.choice(CUT_S)
            cut = Cut(at_s, duration_s, kind, scope, tuple(numbers), tuple(reached))
            cuts.append(cut)
            at_s += duration_s + draw.uniform(*REPEAT_S)
        at_s += draw.uniform(*GAP_S)
    return tuple(cuts)


def find_cut_off(
    cuts: Sequence[AppliedCut], tries: Sequence[FirstTry]
) -> Iterator[str]:
    """Yield a description of each cut whose hosts served much less than the others."""
    for cut in cuts:
        since = cut.since + CONTACT_S
        if not cut.whole or cut.until <= since:
            continue
        counted = [each for each in tries if since <= each.at < cut.until]
        there = [each.served for each in counted if each.host in cut.hosts]
        others = [each.served for each in counted if each.host not in cut.hosts]
        if not there or not others:
            continue
        failed = len(there) - sum(there)
        if failed <= MAX_FAILED + MAX_FAILED_SHARE * len(counted):
            continue
        if sum(there) / len(there) < MIN_RATIO * sum(others) / len(others):
            yield (
                f"{sum(there)} of {len(there)} first tries served at"
                f" {sorted(cut.hosts)}, {sum(others)} of {len(others)} at the others,"
                f" from {since:.3f} to {cut.until:.3f}"
            )
