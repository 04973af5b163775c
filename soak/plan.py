"""
Draws the faults of a run from its seed.

The same seed and sizes give the same faults at the same times. A fault's subject
is a number that the run takes modulo the number of hosts or targets::

    faults = draw_plan(Sizes(hosts=6, targets=12, seconds=20.0), seed=7)
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class FaultKind(Enum):
    """A fault, and the kind of process or link it is applied to."""

    KILL_HOST = "kill-host"
    STOP_HOST = "stop-host"
    END_HOST = "end-host"
    RELOAD_HOST = "reload-host"
    KILL_MANY = "kill-many"
    ROLL = "roll"
    KILL_TARGET = "kill-target"
    STOP_TARGET = "stop-target"
    DRAIN_TARGET = "drain-target"
    DISTURB_STORE_LINK = "disturb-store-link"
    DISTURB_CALLER_LINK = "disturb-caller-link"
    DISTURB_TARGET_LINK = "disturb-target-link"
    FAIL_STORE = "fail-store"
    COMPACT_STORE = "compact-store"
    CONFIGURE = "configure"
    EVACUATE = "evacuate"


class Disturbance(Enum):
    """What a proxy does to the connections of a link."""

    DELAY = "delay"
    RESET = "reset"
    CUT_UP = "cut-up"
    CUT_DOWN = "cut-down"
    SILENCE = "silence"


# Relative weights, 2 for all others: common failures and operations are drawn
# more often.
WEIGHTS = {
    FaultKind.KILL_HOST: 4,
    FaultKind.STOP_HOST: 4,
    FaultKind.END_HOST: 4,
    FaultKind.KILL_TARGET: 4,
    FaultKind.CONFIGURE: 4,
}
LINK_KINDS = frozenset(
    {
        FaultKind.DISTURB_STORE_LINK,
        FaultKind.DISTURB_CALLER_LINK,
        FaultKind.DISTURB_TARGET_LINK,
    }
)
# Delays of a link in each direction.
DELAYS_S = (0.02, 0.1, 0.4)
# Durations of faults: shorter and longer than the time without a heartbeat after
# which a host is unreachable, than a contact of 6 s, and than the time after which
# directories no longer list a host that has ended.
FAULT_DURATIONS_S = (0.2, 0.6, 1.5, 3.0, 7.0, 11.0)
# Times that all hosts are killed at once in a run with several versions, and the time
# until they start again.
ALL_KILLED = 2
ALL_KILLED_S = (0.2, 1.0)
# Share of faults that are followed by another within 0.3 s, so that they overlap.
BURST_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class Sizes:
    """
    The size of a run.

    Faults begin within ``seconds`` and last at most ``longest_s``, if they have a
    duration; ``faults_per_s`` is their mean rate. ``limited_share`` is the share of
    targets that state limits on their request rate, ``fatal_per_s`` the rate of
    requests with a part in their prompts that ends targets. ``versions`` is the number of
    software versions of targets side by side; with several, callers take up streams
    and all hosts are killed at once ``ALL_KILLED`` times. Every other host runs the
    gateway of ``older_checkout``, if there is one. The configuration has ``teams`` teams
    with keys, or knows none if it is 0. ``stranded_share`` is the share of
    hosts that one cut takes off from the targets, ``brittle_share`` that of the targets
    of streams that are brittle at times. With ``odd_entries``, another writer leaves
    odd entries among those of the targets; with ``silent``, sound targets say nothing for
    a moment now and then. With ``restores``, the store comes back from older copies. With
    ``kept``, some callers keep their connections and let
    them idle nearly as long as hosts allow, and hosts are held up for a moment.
    """

    hosts: int
    targets: int
    seconds: float
    faults_per_s: float = 0.8
    longest_s: float = FAULT_DURATIONS_S[-1]
    limited_share: float = 0.0
    fatal_per_s: float = 0.0
    versions: int = 1
    older_checkout: Path | None = None
    stranded_share: float = 0.0
    brittle_share: float = 0.0
    odd_entries: bool = False
    silent: bool = False
    kept: bool = False
    restores: bool = False
    teams: int = 0


@dataclass(frozen=True, slots=True)
class Fault:
    """
    One fault: it begins at ``at_s`` of the run and lasts for ``duration_s``.

    ``subject`` is the number of the host or target. For a disturbed link,
    ``disturbance`` is the kind and ``delay_s`` the delay in each direction.
    """

    at_s: float
    kind: FaultKind
    subject: int
    duration_s: float
    disturbance: Disturbance | None = None
    delay_s: float = 0.0


def draw_plan(sizes: Sizes, seed: int) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by start time."""
    draw = random.Random(seed)
    kinds = list(FaultKind)
    weights = [WEIGHTS.get(kind, 2) for kind in kinds]
    faults: list[Fault] = []
    at_s = draw.expovariate(sizes.faults_per_s)
    while at_s < sizes.seconds:
        kind = draw.choices(kinds, weights)[0]
        faults.append(_draw_fault(draw, kind, at_s, sizes))
        if draw.random() < BURST_SHARE:
            at_s += draw.uniform(0.0, 0.3)
        else:
            at_s += draw.expovariate(sizes.faults_per_s)
    return tuple(faults)


def _draw_fault(
    draw: random.Random, kind: FaultKind, at_s: float, sizes: Sizes
) -> Fault:
    subject = draw.randrange(max(sizes.hosts, sizes.targets))
    duration_s = draw.choice(
        [each for each in FAULT_DURATIONS_S if each <= sizes.longest_s]
    )
    if kind not in LINK_KINDS:
        return Fault(at_s, kind, subject, duration_s)
    disturbance = draw.choice(list(Disturbance))
    return Fault(at_s, kind, subject, duration_s, disturbance, draw.choice(DELAYS_S))
