"""
Limits on the request rate that targets state, and the check that hosts keep them.

A target without a limit draws how long it states none, then a rate and how long it
states that. It writes each change to its record. The check counts requests of hosts
that had passed on an answer with a limit, as the platform does.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.stated_limits import NOTICE_S, find_excess

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping, Sequence

RATES = (0.4, 1.0, 2.0, 5.0)
OPEN_S = (0.5, 6.0)
LIMITED_S = (3.0, 15.0)
# Time from the first limit until the rate must be kept; also the time after a fault of
# a host in which its requests don't count.
CONTACT_S = 6.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """A change of the limit of a target; ``rate`` is None if it states none."""

    target: str
    at: float
    rate: float | None


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that reached a target, from the host that its caller asked."""

    target: str
    at: float
    host: str


def draw_limits(draw: random.Random) -> Iterator[tuple[float, float | None]]:
    """Yield for how long, and then which limit a target states."""
    while True:
        yield draw.uniform(*OPEN_S), draw.choice(RATES)
        yield draw.uniform(*LIMITED_S), None


def find_exceeded(
    limits: Sequence[StatedLimit],
    arrivals: Sequence[Sent],
    told_at: Mapping[tuple[str, str], float],
) -> Iterator[str]:
    """
    Yield a description of the first window of each target with too many requests.

    ``told_at`` maps a target and a host to when that host first passed on a limit of
    the target. ``arrivals`` leaves out those of hosts with a fault.
    """
    changes: dict[str, list[tuple[float, float | None]]] = defaultdict(list)
    for limit in limits:
        changes[limit.target].append((limit.at, limit.rate))
    times: dict[str, list[float]] = defaultdict(list)
    for sent in arrivals:
        told = told_at.get((sent.target, sent.host))
        stated = changes.get(sent.target)
        if told is None or stated is None:
            continue
        if sent.at >= max(told + NOTICE_S, stated[0][0] + CONTACT_S):
            times[sent.target].append(sent.at)
    for target, arrived in times.items():
        for excess in find_excess(sorted(arrived), changes[target]):
            yield f"{target} got {excess}"
            break
