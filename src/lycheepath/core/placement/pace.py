"""
Learns how steadily and how fast each target of a service works at the moment.

Three times are learned from the gaps between the events of a target's streams, over a
few events each: the shortest (nothing is being read between them), the mean, and the
longest (prompts are being read). The time to the first event shows how long the target takes
to read a token of a prompt; of a target without an engine, it shows how its answers
compare with the estimate. All four are geometric means that are weighted
towards recent observations and return to the service's means while a target isn't
observed, so a target that was slow is tried again after a few seconds::

    record = PaceRecord(HALF_LIFE_S, MAX_WEIGHT)
    record.add(observe_gaps(0.05, 0.07, 0.2), now)
    pace = blend(record.report(now), service_pace.record.report(now))
    pace.interval_s

Each host observes its own answers. It tells the coordinator of a target what it has
observed since it last did, and the coordinator's load reports have the sum. Nothing is
learned and nothing changes for a service until one of its targets reports four figures
of its load (see ``ServicePace``).
"""

from __future__ import annotations

from math import exp, log
from typing import NamedTuple

from .concurrency import ConcurrencyLimit

# Number of gaps between events that one observation of a stream covers. A few gaps
# contain one in which nothing is read, unless prompts are read all the time.
WINDOW_GAPS = 8
# Fewest gaps that make an observation at the end of a short stream.
MIN_WINDOW_GAPS = 3
# Time in seconds after which the weight of an observation of one target has halved.
HALF_LIFE_S = 2.0
# The same for a service, whose targets change speed at different times.
SERVICE_HALF_LIFE_S = 15.0
# Largest weight of what was observed of a target, as a number of observations, so that
# little is left of it a few half-lives after the last one.
MAX_WEIGHT = 12.0
MAX_SERVICE_WEIGHT = 200.0
# Weight of the service's mean in the estimate for one of its targets.
PRIOR_WEIGHT = 2.0
# Bounds of the ratio of one target's speed to its service's.
MIN_FACTOR, MAX_FACTOR = 0.4, 8.0
# Bounds of an observed gap, in seconds: shorter ones are events that arrived together.
MIN_GAP_S, MAX_GAP_S = 0.001, 20.0
# Least share of the mean gap that the shortest one counts with.
MIN_QUIET_SHARE = 0.4
# Bounds of the work that is observed of one answer.
MIN_WORK, MAX_WORK = 1e-7, 20.0
# The logarithms of these bounds, with room for the rounding of reported figures.
LOWEST_GAP, HIGHEST_GAP = log(MIN_GAP_S) - 0.01, log(MAX_GAP_S) + 0.01
LOWEST_WORK, HIGHEST_WORK = log(MIN_WORK) - 0.01, log(MAX_WORK) + 0.01
# Fewest tokens of a prompt and those before it that show how long a token takes, and the
# number for an observation with full weight: with few, the time is mostly that of steps.
MIN_READ_TOKENS = 1000
FULL_READ_TOKENS = 4000
# Largest number of prompt tokens that an engine is assumed to read between two tokens
# of its running streams. Engines are usually set up to read 2,048 or fewer.
CHUNK_TOKENS = 2048
# Least weight of a target's observations on which a refusal may be based.
SOLID_WEIGHT = 6.0


class PaceReport(NamedTuple):
    """
    What was observed of a target: two weights, and logarithms of geometric means.

    ``windows`` is the weight of ``quiet``, ``interval`` and ``pause``: the shortest, the
    mean and the longest time in seconds between two events within a window of some
    events. ``reads`` is the weight of ``work``: the time in seconds to read a token, or
    without an engine the time of an answer as a multiple of what was expected.
    ``limit`` is the number of concurrent requests that the target handles well, 0 if it
    isn't known. It is a named tuple as some are built for each request.
    """

    windows: float
    quiet: float
    interval: float
    pause: float
    reads: float = 0.0
    work: float = 0.0
    limit: int = 0


class Pace(NamedTuple):
    """What is expected of a target: the means, drawn to those of its service."""

    windows: float
    quiet_s: float
    interval_s: float
    pause_s: float
    work: float
    event_factor: float
    work_factor: float
    limit: int


# Assumed of a service of which nothing was observed.
ASSUMED_PACE = PaceReport(0.0, log(0.05), log(0.05), log(0.1))


class PaceRecord:
    """The decaying sums of the logarithms of what was observed."""

    __slots__ = (
        "_at",
        "_half_life_s",
        "_interval",
        "_max_weight",
        "_pause",
        "_quiet",
        "_reads",
        "_windows",
        "_work",
    )

    def __init__(self, half_life_s: float, max_weight: float) -> None:
        self._half_life_s = half_life_s
        self._max_weight = max_weight
        self._at = 0.0
        self.clear()

    def clear(self) -> None:
        """Forget everything."""
        self._windows = self._reads = 0.0
        self._quiet = self._interval = self._pause = self._work = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether nothing was observed yet."""
        return not (self._windows or self._reads)

    def add(self, seen: PaceReport, now: float) -> None:
        """Add an observation, or those of another host."""
        decay = self._find_decay(now)
        self._at = max(now, self._at)
        if seen.windows:
            kept = self._bound(decay, self._windows, seen.windows)
            weight = min(seen.windows, self._max_weight)
            self._windows = kept * self._windows + weight
            self._quiet = kept * self._quiet + weight * seen.quiet
            self._interval = kept * self._interval + weight * seen.interval
            self._pause = kept * self._pause + weight * seen.pause
        else:
            self._windows *= decay
            self._quiet *= decay
            self._interval *= decay
            self._pause *= decay
        weight = min(seen.reads, self._max_weight)
        kept = self._bound(decay, self._reads, weight) if weight else decay
        self._reads = kept * self._reads + weight
        self._work = kept * self._work + weight * seen.work

    def report(self, now: float) -> PaceReport:
        """Return the means, and their weights at ``now``."""
        decay = self._find_decay(now)
        windows, reads = self._windows, self._reads
        work = self._work / reads if reads else 0.0
        if not windows:
            return ASSUMED_PACE._replace(reads=decay * reads, work=work)
        return PaceReport(
            decay * windows,
            self._quiet / windows,
            self._interval / windows,
            self._pause / windows,
            decay * reads,
            work,
        )

    def take(self, now: float) -> PaceReport | None:
        """Return what was added since the last call, and forget it."""
        if self.is_empty:
            return None
        taken = self.report(now)
        self.clear()
        return taken

    def _find_decay(self, now: float) -> float:
        return float(0.5 ** (max(0.0, now - self._at) / self._half_life_s))

    def _bound(self, decay: float, weight: float, added: float) -> float:
        """Return the share of earlier observations that is kept, for a bounded sum."""
        room = max(0.0, self._max_weight - added)
        return min(decay, room / weight) if weight > 0.0 else decay


class TargetPace:
    """What is known of a target, and what its coordinator hasn't been told yet."""

    __slots__ = ("limit", "record", "untold")

    def __init__(self) -> None:
        self.record = PaceRecord(HALF_LIFE_S, MAX_WEIGHT)
        # It is taken every second, so it needn't decay.
        self.untold = PaceRecord(1e9, MAX_WEIGHT)
        self.limit = ConcurrencyLimit()

    def report(self, slots: int, now: float) -> PaceReport:
        """Return what is known of the target."""
        seen = self.record.report(now)
        limit = self.limit.find(slots, now)
        return seen._replace(limit=limit) if limit else seen

    def observe(self, seen: PaceReport, now: float) -> None:
        """Add an observation of this host."""
        self.record.add(seen, now)
        self.untold.add(seen, now)

    def clear(self) -> None:
        """Forget what was observed, as the target has restarted or fails."""
        self.record.clear()
        self.untold.clear()
        self.limit = ConcurrencyLimit()


class ServicePace:
    """
    The means of a service's targets, and whether they are used.

    ``is_on`` is set by the first answer of one of the targets that reports four figures
    of its load. It stays set, since a missing figure later says nothing new.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.record = PaceRecord(SERVICE_HALF_LIFE_S, MAX_SERVICE_WEIGHT)


class StreamGaps:
    """The gaps between the events of one stream since the last observation."""

    __slots__ = ("_count", "_longest_s", "_shortest_s", "_sum_s")

    def __init__(self) -> None:
        self._count = 0
        self._sum_s = self._longest_s = 0.0
        self._shortest_s = MAX_GAP_S

    def add(self, gap_s: float, count: int) -> PaceReport | None:
        """Add a gap before ``count`` events; return an observation if it is complete."""
        self._count += count
        self._sum_s += gap_s
        self._longest_s = max(self._longest_s, gap_s)
        if count == 1:
            self._shortest_s = min(self._shortest_s, gap_s)
        return self.take() if self._count >= WINDOW_GAPS else None

    def take(self) -> PaceReport | None:
        """Return an observation of the gaps so far unless they are too few."""
        if self._count < MIN_WINDOW_GAPS:
            return None
        mean_s = self._sum_s / self._count
        # Events that arrive together aren't evidence of a fast target.
        quiet_s = min(mean_s, max(self._shortest_s, MIN_QUIET_SHARE * mean_s))
        seen = observe_gaps(quiet_s, mean_s, self._longest_s)
        self._count = 0
        self._sum_s = self._longest_s = 0.0
        self._shortest_s = MAX_GAP_S
        return seen


def observe_gaps(quiet_s: float, interval_s: float, pause_s: float) -> PaceReport:
    """Return the observation of the gaps between some events."""
    return PaceReport(
        1.0, _log_gap(quiet_s), _log_gap(interval_s), _log_gap(pause_s), 0.0, 0.0
    )


def observe_work(work: float, weight: float = 1.0) -> PaceReport:
    """Return the observation of the work of one answer."""
    bounded = min(max(work, MIN_WORK), MAX_WORK)
    return ASSUMED_PACE._replace(reads=weight, work=log(bounded))


def observe_read(took_s: float, tokens: int) -> PaceReport | None:
    """Return the observation of a prompt that was read, None if it was too short."""
    if tokens < MIN_READ_TOKENS or took_s <= 0.0:
        return None
    return observe_work(took_s / tokens, min(1.0, tokens / FULL_READ_TOKENS))


def blend(target: PaceReport, service: PaceReport) -> Pace:
    """Return what to expect of a target."""
    own = target.windows / (target.windows + PRIOR_WEIGHT)
    rest = 1.0 - own
    interval = own * target.interval + rest * service.interval
    work_share = target.reads / (target.reads + PRIOR_WEIGHT)
    # Compared with the service, so that nothing is expected of its unknown work. A host
    # that knows no work of the service yet has nothing to compare with.
    excess = work_share * (target.work - service.work) if service.reads else 0.0
    return Pace(
        target.windows,
        exp(own * target.quiet + rest * service.quiet),
        exp(interval),
        exp(own * target.pause + rest * service.pause),
        exp(service.work + excess),
        _bound_factor(exp(interval - service.interval)),
        _bound_factor(exp(excess)),
        target.limit,
    )


def estimate_pause_s(
    pace: Pace, unread_tokens: int, event_tokens: int, token_s: float
) -> float:
    """
    Return the expected longest pause of a stream while a target reads prompts.

    ``token_s`` is the target's own time to read a token. Between two events of
    ``event_tokens`` tokens an engine reads one chunk for each token.
    """
    tokens = min(unread_tokens, event_tokens * CHUNK_TOKENS)
    return pace.quiet_s + tokens * token_s


def is_solid(pace: Pace) -> bool:
    """Whether enough was observed of a target to refuse requests because of it."""
    return pace.windows >= SOLID_WEIGHT


def is_valid(pace: PaceReport) -> bool:
    """Whether what another host reports can have been observed."""
    return (
        0.0 <= pace.windows <= MAX_SERVICE_WEIGHT
        and 0.0 <= pace.reads <= MAX_SERVICE_WEIGHT
        and pace.limit >= 0
        and LOWEST_GAP <= pace.quiet <= HIGHEST_GAP
        and LOWEST_GAP <= pace.interval <= HIGHEST_GAP
        and LOWEST_GAP <= pace.pause <= HIGHEST_GAP
        and LOWEST_WORK <= pace.work <= HIGHEST_WORK
    )


def _log_gap(gap_s: float) -> float:
    return log(min(max(gap_s, MIN_GAP_S), MAX_GAP_S))


def _bound_factor(factor: float) -> float:
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)
