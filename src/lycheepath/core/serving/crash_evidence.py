"""
Finds what the requests share that end the targets which serve them.

A feature of a request is the request itself, or one part of its prompt. One of them may
end each target that begins to write an answer, whatever else the request holds. All
requests that were in flight at a target that ended are suspected, with those of their
features that no complete answer has cleared. A feature under which ``MAX_ENDS`` targets
ended is blocked. Features that were together in all of these requests can't be told
apart; only requests that have all of them are refused, until one of them is seen
elsewhere. Of two features that explain the same ends, the narrower one is blocked::

    evidence = CrashEvidence()
    evidence.record_break(Instance("i-7f", 0), ("part 5c1e", "part 91bd"), now, sent_at)
    evidence.find_block(("part 5c1e", "part 91bd"), now)

Hosts share the evidence, not the decision: each report is merged, and a host that has
seen a feature in a complete answer says so.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import TYPE_CHECKING, Any

from .crash_reports import CrashReport, TargetEnd

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..catalog.model import Instance

# Number of targets that end under a feature before it is blocked; two may be a coincidence
# when requests are sent to the same next target.
MAX_ENDS = 3
# Ends within this time, in seconds, count as one unless a request was sent between them:
# a request ends one target after the other, a reset of connections breaks many at once.
SAME_MOMENT_S = 0.1
# Time after the first end under a feature, in seconds, in which other hosts may say that
# they have seen it in a complete answer.
OBJECTION_S = 1.0
# Time in seconds before an end, and at any time after it, within which a complete answer
# clears a feature.
CLEARED_S = 30.0
# Time in seconds after which an end that blocks nothing is forgotten.
FORGET_S = 60.0
# Time in seconds until one request may try a blocked feature again; each trial that ends a
# target multiplies it by ``BLOCK_GROWTH``.
BLOCK_S = 300.0
BLOCK_GROWTH = 10.0
MAX_BLOCK_S = 21_600.0
# Trials after which the time doesn't grow any more.
MAX_COUNTED_TRIALS = 4
# The first such time if another feature explains these ends as well, so that this one may be
# innocent: the time for answers that are under way.
UNCERTAIN_BLOCK_S = 3.0
# Time in seconds after which a blocked feature is forgotten that nobody has sent.
FORGET_BLOCK_S = 86_400.0
# Time in seconds after a break in which this host waits for a sign of life before it
# shares the evidence.
SETTLE_S = 0.3
# Time in seconds for the outcome of a trial.
TRIAL_S = 30.0
# Time in seconds between the trials of features that explain the same ends: a request that
# has begun by then isn't suspected of the end that the next trial may bring.
TRIAL_TURN_S = 3.0
# Time in seconds after a trial without an outcome until the next one: reports of an end at
# another host are known by then.
TRIAL_PAUSE_S = 2.0
# A target that is heard from between these times after a break, in seconds, didn't end:
# bytes that it sent before have been read by then, and no target restarts within 1 s.
ALIVE_FROM_S, ALIVE_UNTIL_S = 0.1, 1.0
# Difference in seconds by which a reported answer must be newer than a known one; ages
# grow by the delay of each message.
MIN_NEWER_S = 1.0
# Largest numbers of ends, of cleared features, and of suspects of one end that are kept.
MAX_KEPT_ENDS = 512
MAX_CLEARED = 4096
MAX_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class CrashBlock:
    """
    Why requests with a feature are refused.

    ``together`` are the features that a refused request has as well. ``targets`` ended
    under the feature, the last one at ``last_end_at``. A trial may start at ``until``.
    """

    feature: str
    together: frozenset[str]
    targets: tuple[str, ...]
    last_end_at: float
    until: float


@dataclass(slots=True)
class _End:
    """
    An end: when it was, and from when it is shared with other hosts.

    ``sent_at`` is when the last of the suspected requests was sent.
    """

    at: float
    sent_at: float
    shared_from: float
    requests: set[frozenset[str]] = field(default_factory=set)


class CrashEvidence:
    """The ended targets with their suspects, and the features that were cleared."""

    def __init__(self) -> None:
        # Without other hosts nobody can object to a block.
        self.has_peers = True
        self._ends: dict[Instance, _End] = {}
        self._by_feature: dict[str, set[Instance]] = {}
        # Features with enough ends to be blocked.
        self._frequent: set[str] = set()
        self._cleared: dict[str, float] = {}
        self._objections: dict[str, float] = {}
        self._alive: dict[Instance, tuple[float, float]] = {}
        # When each trial began, and until when no other may.
        self._trials: dict[str, tuple[float, float]] = {}

    def record_break(
        self,
        instance: Instance,
        features: Sequence[str],
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Record that a target broke the connection of a request that it served."""
        alive = self._alive.get(instance)
        if alive is not None and now - alive[0] < ALIVE_FROM_S:
            return
        sent_at = now if sent_at is None else sent_at
        requests = (frozenset(features),)
        self._add_end(instance, now, sent_at, requests, now, now + SETTLE_S)

    def list_unsettled(self, now: float) -> list[tuple[Instance, float]]:
        """Return the instances, and when they ended, that may still be alive."""
        return [
            (instance, end.at)
            for instance, end in self._ends.items()
            if now - end.at <= ALIVE_UNTIL_S
        ]

    def record_contact(self, instance: Instance, now: float) -> bool:
        """Record a sign of life; return whether an end has been discarded for it."""
        end = self._ends.get(instance)
        if end is None or not ALIVE_FROM_S <= now - end.at <= ALIVE_UNTIL_S:
            return False
        self._remove_end(instance)
        self._alive[instance] = now, now
        _drop_oldest(self._alive, MAX_KEPT_ENDS)
        return True

    def record_answer(self, features: Iterable[str], now: float) -> None:
        """Record a complete answer: its features are cleared."""
        for feature in features:
            self._cleared.pop(feature, None)
            self._cleared[feature] = now
            if feature in self._by_feature:
                self._clear(feature, now, now)
        _drop_oldest(self._cleared, MAX_CLEARED)

    def find_block(self, features: Sequence[str], now: float) -> CrashBlock | None:
        """Return why a request with these features is refused, or None."""
        # In the order of the features, so that a part is named rather than a digest.
        for feature in features:
            if feature not in self._frequent:
                continue
            block = self._find_feature_block(feature, now)
            if block is not None and block.together.issubset(features):
                return block
        return None

    def count_earlier_trials(self, block: CrashBlock, now: float) -> int:
        """
        Return how many features that share ends with this one are tried before it.

        The most frequent one comes first: refusing it costs the most.
        """
        targets = set(block.targets)
        order = self._rank_trial(block.feature)
        return sum(
            not targets.isdisjoint(other.targets)
            and self._rank_trial(other.feature) < order
            for other in self.list_blocks(now)
            if other.feature not in block.together
        )

    def start_trial(self, block: CrashBlock, now: float) -> bool:
        """Take the trial of a blocked feature if it is due; return whether it was."""
        if now < block.until:
            return False
        self._trials.pop(block.feature, None)
        self._trials[block.feature] = now, now + TRIAL_S
        _drop_oldest(self._trials, MAX_KEPT_ENDS)
        return True

    def end_trial(self, feature: str, now: float) -> None:
        """Record that the request on trial has ended; another one may try soon."""
        trial = self._trials.get(feature)
        if trial is not None:
            self._trials[feature] = trial[0], now + TRIAL_PAUSE_S

    def list_blocks(self, now: float) -> list[CrashBlock]:
        """Return the blocks of all features."""
        blocks = (self._find_feature_block(feature, now) for feature in self._frequent)
        return [block for block in blocks if block is not None]

    def apply_report(self, report: CrashReport, now: float) -> None:
        """Merge the evidence of another host."""
        for feature, age_s in report.cleared:
            at = now - age_s
            if at > self._cleared.get(feature, float("-inf")) + MIN_NEWER_S:
                self._cleared.pop(feature, None)
                self._cleared[feature] = at
                self._clear(feature, at, now)
        _drop_oldest(self._cleared, MAX_CLEARED)
        for instance, age_s in report.alive:
            known = self._ends.get(instance)
            if instance not in self._alive and age_s < FORGET_S:
                self._alive[instance] = now - age_s, now
            if known is not None and known.at <= now - age_s:
                self._remove_end(instance)
        for end in report.ends:
            requests = tuple(frozenset(features) for features in end.requests)
            at, sent_at = now - end.age_s, now - end.sent_age_s
            self._add_end(end.instance, at, sent_at, requests, now, now)

    def report(self, now: float, since: float, max_ends: int) -> CrashReport:
        """
        Return the evidence that has changed since a time, to share with other hosts.

        Ends under blocked features come first, then the latest.
        """
        changed = [
            (instance, end)
            for instance, end in self._ends.items()
            if since <= end.shared_from <= now
        ]
        if len(changed) > 1:
            blocking = self._list_blocking(now)
            changed.sort(key=lambda item: (item[0] not in blocking, -item[1].at))
        ends = tuple(
            TargetEnd(
                instance,
                now - end.at,
                now - end.sent_at,
                tuple(tuple(sorted(r)) for r in end.requests),
            )
            for instance, end in changed[:max_ends]
        )
        cleared = tuple(
            (feature, now - self._cleared[feature])
            for feature, at in self._objections.items()
            if at >= since and feature in self._cleared
        )
        alive = tuple(
            (instance, now - at)
            for instance, (at, changed_at) in self._alive.items()
            if changed_at >= since
        )
        return CrashReport(ends, cleared[-max_ends:], alive[-max_ends:])

    def expire(self, now: float) -> None:
        """Forget what is old and blocks nothing."""
        aged = [i for i, end in self._ends.items() if now - end.at > FORGET_S]
        keep: set[Instance] = set()
        if aged or len(self._ends) > MAX_KEPT_ENDS:
            keep = self._list_blocking(now)
        old = [
            instance
            for instance in aged
            if instance not in keep or now - self._ends[instance].at > FORGET_BLOCK_S
        ]
        excess = len(self._ends) - len(old) - MAX_KEPT_ENDS
        if excess > 0:
            kept = sorted(
                self._ends.keys() - set(old),
                key=lambda i: (i in keep, self._ends[i].at),
            )
            old += kept[:excess]
        for instance in old:
            self._remove_end(instance)
        self._objections = {
            f: at for f, at in self._objections.items() if now - at <= FORGET_S
        }
        self._trials = {f: t for f, t in self._trials.items() if now - t[0] <= FORGET_S}
        self._alive = {i: a for i, a in self._alive.items() if now - a[0] <= FORGET_S}

    def _add_end(
        self,
        instance: Instance,
        at: float,
        sent_at: float,
        requests: Iterable[frozenset[str]],
        now: float,
        shared_from: float,
    ) -> None:
        alive = self._alive.get(instance)
        if alive is not None and at <= alive[0]:
            return
        suspects = {self._drop_cleared(features, at, now) for features in requests}
        suspects.discard(frozenset())
        if not suspects:
            return
        end = self._ends.get(instance)
        if end is None:
            end = self._ends[instance] = _End(at, sent_at, shared_from)
        rank = partial(self._rank_suspect, instance)
        kept = set(sorted(suspects | end.requests, key=rank)[:MAX_REQUESTS])
        if not kept <= end.requests:
            end.shared_from = shared_from
        self._replace_suspects(instance, end, kept)
        end.at = min(end.at, at)
        end.sent_at = min(end.at, max(end.sent_at, sent_at))

    def _drop_cleared(
        self, features: frozenset[str], at: float, now: float
    ) -> frozenset[str]:
        """Return the features that no complete answer clears of an end; object to it."""
        cleared = {
            feature
            for feature in features
            if self._cleared.get(feature, float("-inf")) > at - CLEARED_S
        }
        for feature in cleared:
            self._objections[feature] = now
        return features - cleared

    def _rank_suspect(
        self, instance: Instance, features: frozenset[str]
    ) -> tuple[int, int, list[str]]:
        """
        Order suspects: those whose features were at most other ends come first.

        Of the others, those come first that have features which other requests share.
        """
        ends = max(
            len(self._by_feature.get(feature, set()) - {instance})
            for feature in features
        )
        return -ends, -len(features), sorted(features)

    def _replace_suspects(
        self, instance: Instance, end: _End, requests: set[frozenset[str]]
    ) -> None:
        before = frozenset().union(*end.requests)
        after = frozenset().union(*requests)
        end.requests = requests
        for feature in after - before:
            instances = self._by_feature.setdefault(feature, set())
            instances.add(instance)
            if len(instances) >= MAX_ENDS:
                self._frequent.add(feature)
        for feature in before - after:
            self._remove_instance(feature, instance)

    def _clear(self, feature: str, at: float, now: float) -> None:
        """Remove a feature from the suspects of all ends that a complete answer clears."""
        for instance in list(self._by_feature.get(feature, ())):
            end = self._ends[instance]
            if at <= end.at - CLEARED_S:
                continue
            self._objections[feature] = now
            requests = {r - {feature} for r in end.requests} - {frozenset()}
            self._replace_suspects(instance, end, requests)
            if not end.requests:
                del self._ends[instance]

    def _find_feature_block(self, feature: str, now: float) -> CrashBlock | None:
        instances = self._by_feature.get(feature, set())
        if len(instances) < MAX_ENDS:
            return None
        ends = sorted(
            ((self._ends[i], i.target) for i in instances), key=lambda item: item[0].at
        )
        moments = 0
        last_at = float("-inf")
        for end, _ in ends:
            if end.at - last_at >= SAME_MOMENT_S or end.sent_at > last_at:
                moments += 1
                last_at = end.at
        if moments < MAX_ENDS:
            return None
        if self.has_peers and now - ends[0][0].at < OBJECTION_S:
            return None
        requests = [r for end, _ in ends for r in end.requests if feature in r]
        together = frozenset.intersection(*requests) - {feature}
        if self._has_narrower(feature, frozenset().union(*requests) - together):
            return None
        certain = not self._has_rival(feature, [end for end, _ in ends])
        last_at = ends[-1][0].at
        until = last_at + _find_block_s([end.at for end, _ in ends], certain)
        trial = self._trials.get(feature)
        if trial is not None and until <= trial[0]:
            until = trial[1]
        targets = tuple(target for _, target in ends)
        return CrashBlock(feature, together, targets, last_at, until)

    def _list_blocking(self, now: float) -> set[Instance]:
        """Return the ended instances under blocked features."""
        blocks = self.list_blocks(now)
        return {i for block in blocks for i in self._by_feature[block.feature]}

    def _rank_trial(self, feature: str) -> tuple[int, str]:
        """Order features by the number of suspected requests that have them."""
        suspects = sum(
            feature in request
            for instance in self._by_feature[feature]
            for request in self._ends[instance].requests
        )
        return -suspects, feature

    def _has_narrower(self, feature: str, others: Iterable[str]) -> bool:
        """
        Whether another feature was at the same ends, only in requests with this one.

        If the other one is innocent, the next end is without it.
        """
        instances = self._by_feature[feature]
        return any(
            self._by_feature[other] == instances
            and all(
                feature in request
                for instance in instances
                for request in self._ends[instance].requests
                if other in request
            )
            for other in others
            if other != feature
        )

    def _has_rival(self, feature: str, ends: Sequence[_End]) -> bool:
        """Whether too few ends are left without those that another feature explains."""
        explained: Counter[str] = Counter()
        for end in ends:
            others = frozenset().union(*(r for r in end.requests if feature not in r))
            explained.update(self._frequent.intersection(others))
        return any(len(ends) - count < MAX_ENDS for count in explained.values())

    def _remove_end(self, instance: Instance) -> None:
        end = self._ends.pop(instance)
        for feature in frozenset().union(*end.requests):
            self._remove_instance(feature, instance)

    def _remove_instance(self, feature: str, instance: Instance) -> None:
        instances = self._by_feature[feature]
        instances.discard(instance)
        if len(instances) < MAX_ENDS:
            self._frequent.discard(feature)
        if not instances:
            del self._by_feature[feature]


def _find_block_s(ends: Sequence[float], certain: bool) -> float:
    """
    Return the time from the last of some ends until a trial, in seconds.

    Ends after a pause are those of trials once there were enough of them for a block.
    """
    pauses = (after - before for before, after in pairwise(ends[MAX_ENDS - 1 :]))
    trials = sum(pause_s >= UNCERTAIN_BLOCK_S for pause_s in pauses)
    first_s = BLOCK_S if certain else UNCERTAIN_BLOCK_S
    return min(MAX_BLOCK_S, first_s * BLOCK_GROWTH ** min(trials, MAX_COUNTED_TRIALS))


def _drop_oldest(table: dict[Any, Any], max_entries: int) -> None:
    """Remove the oldest entries beyond the maximum number."""
    while len(table) > max_entries:
        del table[next(iter(table))]
