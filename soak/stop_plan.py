"""
Draws the planned stops of a play.

Some stops overlap, some are of all hosts of a region at once::

    stops = draw_stops(hosts=9, seconds=30.0, seed=7)
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from standins.site import REGIONS

ZONES = list(REGIONS)
# Times between the starts of groups of stops, between the stops of one, and within which
# a host isn't stopped again.
GROUP_S = (2.0, 5.0)
STAGGER_S = 1.5
BUSY_S = 12.0
REGION_SHARE = 0.3
TWICE_SHARE = 0.25
RELOAD_SHARE = 0.25
HELD_UP_SHARE = 0.3
HELD_UP_S = (0.3, 0.9)


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """
    A stop to come of the host with a number.

    The process is held up ``held_before_s`` before SIGTERM and ``held_after_s`` after it;
    the other signals come some time after it, if at all.
    """

    at_s: float
    host: int
    held_before_s: float = 0.0
    held_after_s: float = 0.0
    twice_after_s: float | None = None
    reload_after_s: float | None = None


def draw_stops(hosts: int, seconds: float, seed: int) -> list[PlannedStop]:
    """Return the stops of a play, in the order of their times."""
    draw = random.Random(f"stops/{seed}")
    free_at = [0.0] * hosts
    stops: list[PlannedStop] = []
    at_s = draw.uniform(0.5, GROUP_S[0])
    while at_s < seconds:
        free = [number for number in range(hosts) if free_at[number] <= at_s]
        region = draw.randrange(len(ZONES))
        chosen = [number for number in free if number % len(ZONES) == region]
        if draw.random() >= REGION_SHARE:
            chosen = draw.sample(free, min(len(free), draw.randint(1, 3)))
        for number in chosen:
            stop = _draw_stop(draw, at_s + draw.uniform(0.0, STAGGER_S), number)
            free_at[number] = stop.at_s + BUSY_S
            stops.append(stop)
        at_s += draw.uniform(*GROUP_S)
    return sorted(stops, key=lambda stop: stop.at_s)


def _draw_stop(draw: random.Random, at_s: float, number: int) -> PlannedStop:
    held_up_s = draw.uniform(*HELD_UP_S) if draw.random() < HELD_UP_SHARE else 0.0
    before_s = held_up_s * draw.choice((0.0, 0.5))
    return PlannedStop(
        at_s,
        number,
        before_s,
        held_up_s - before_s,
        draw.uniform(0.0, 3.0) if draw.random() < TWICE_SHARE else None,
        draw.uniform(0.0, 3.0) if draw.random() < RELOAD_SHARE else None,
    )
