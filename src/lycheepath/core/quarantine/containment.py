"""
What one host knows of crashes: requests in flight, suspects and convictions.

When a target dies, all requests in flight on it are suspects. Each is run
again on trial, apart from other suspects, until it has passed the point at
which the target died. A request that was there at two deaths is convicted and
refused at once for a bounded time; the deaths that it explains no longer
suffice against the others::

    verdict = containment.admit(fingerprints, now)
    if isinstance(verdict, Absent):
        return refuse(verdict)
    if verdict is Standing.SUSPECT:
        ...  # ask the arbiters for a trial before sending
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .arbiter import EVIDENCE_LIFE_S, SENTENCE_S, note_explained
from .evidence import CrashReport, QuarantineDecision, TargetDeath, convicts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .fingerprints import Fingerprint

MIN_CLEARING_TOKENS = 3
MAX_CLEARING_TOKENS = 32
MASS_DEATHS = 8
MASS_WINDOW_S = 2.0
MAX_CONVICTIONS = 4096
MAX_SUSPECTS = 4096
MAX_SENTENCE_S = 3600.0


class QuarantineInvariantError(AssertionError):
    """A convicted request was about to reach a target."""


class QuarantineStatus(Enum):
    """How a request may be sent."""

    CLEAR = "clear"
    SUSPECT = "suspect"


@dataclass(slots=True)
class _Flight:
    fingerprint: Fingerprint
    scope: str
    target: str
    trial: bool
    tokens: int = 0


@dataclass(slots=True)
class _Suspect:
    scope: str
    deaths: frozenset[TargetDeath]
    until: float
    tokens: int = 0
    served: frozenset[TargetDeath] = frozenset()


@dataclass(slots=True)
class _Sentence:
    scope: str
    until: float
    deaths: frozenset[TargetDeath]


@dataclass(slots=True)
class Containment:
    """
    The containment at one host.

    Both tables are bounded; the entries that end first make room.
    """

    max_convictions: int = MAX_CONVICTIONS
    max_suspects: int = MAX_SUSPECTS
    _flights: dict[str, _Flight] = field(default_factory=dict)
    _suspects: dict[Fingerprint, _Suspect] = field(default_factory=dict)
    _sentences: dict[Fingerprint, _Sentence] = field(default_factory=dict)
    _explained: dict[TargetDeath, float] = field(default_factory=dict)
    _recent_deaths: deque[tuple[float, str]] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self._suspects) + len(self._sentences)

    def admit(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> QuarantineStatus | Absent:
        """
        Say whether a request may be sent, and how.

        A convicted one is refused with the rest of its sentence, which asking
        does not prolong.
        """
        self.expire(now)
        for fingerprint in fingerprints:
            sentence = self._sentences.get(fingerprint)
            if sentence is not None:
                return Absent(Reason.QUARANTINED, sentence.until - now)
        if any(fingerprint in self._suspects for fingerprint in fingerprints):
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def record_send(
        self,
        request_id: str,
        fingerprint: Fingerprint,
        scope: str,
        target: str,
        trial: bool,
    ) -> None:
        """
        Note that a request is sent to a target now.

        Raises ``QuarantineInvariantError`` for a convicted request, and for a
        suspect that is not on trial.
        """
        if fingerprint in self._sentences:
            raise QuarantineInvariantError("a convicted request was about to be sent")
        if fingerprint in self._suspects and not trial:
            raise QuarantineInvariantError("a suspect was about to run without trial")
        self._flights[request_id] = _Flight(fingerprint, scope, target, trial)

    def find_same(self, fingerprint: Fingerprint) -> str | None:
        """
        Return the target that already runs the same request here.

        Sending a copy to that target rather than to another keeps the loss
        to one target if the request crashes it.
        """
        for flight in self._flights.values():
            if flight.fingerprint == fingerprint:
                return flight.target
        return None

    def find_death_targets(self, fingerprint: Fingerprint) -> frozenset[str]:
        """Return the targets that died with a request in flight on them."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(death.target for death in suspect.deaths)

    def record_token(self, request_id: str) -> bool:
        """
        Note one more token; ``True`` once, when a trial has been passed.

        The target's lease is then given back, and the fingerprint's when the
        request has ended.
        """
        flight = self._flights.get(request_id)
        if flight is None:
            return False
        flight.tokens += 1
        if not flight.trial or flight.tokens < self._clearing(flight.fingerprint):
            return False
        flight.trial = False
        self._clear(flight.fingerprint)
        return True

    def record_end(self, request_id: str) -> None:
        """Note that a request has left its target, whole or cancelled."""
        self._flights.pop(request_id, None)

    def record_target_death(
        self, target: str, instance: str, now: float, alone: bool = False
    ) -> tuple[Mapping[str, QuarantineStatus], tuple[CrashReport, ...]]:
        """
        Note that a target died; say what becomes of the requests on it.

        Returns the requests that were there, with how each may be sent
        again, and the reports to send to the fingerprints' arbiters.
        ``alone`` says that the target's last load report showed one request. A
        request on trial counts as alone: others there run for the first time or
        have passed the point at which their target died.
        """
        self.expire(now)
        death = TargetDeath(target, instance, self._is_mass(target, now))
        lost = [key for key, each in self._flights.items() if each.target == target]
        reports: dict[Fingerprint, CrashReport] = {}
        for request_id in lost:
            flight = self._flights.pop(request_id)
            only = flight.trial or (alone and len(lost) == 1)
            report = self._suspect(flight, death, now, only)
            reports[flight.fingerprint] = report
        return dict.fromkeys(lost, QuarantineStatus.SUSPECT), tuple(reports.values())

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """
        Take in a peer's evidence; ``True`` if it was news.

        From then on the request runs here on trial only.
        """
        self.expire(now)
        if report.fingerprint in self._sentences:
            return False
        known = self._suspects.get(report.fingerprint)
        if known is not None and report.deaths <= known.deaths:
            return False
        self._add_evidence(report, now)
        return True

    def decide_locally(self, report: CrashReport) -> QuarantineDecision | None:
        """
        Convict on this host's own evidence, if it suffices.

        For use only when no arbiter answers: an arbiter holds back its verdict
        on a request that wasn't alone, until the one that was is convicted.
        """
        if not convicts(report.deaths, self._explained):
            return None
        return QuarantineDecision(
            report.fingerprint, report.scope, SENTENCE_S, report.deaths
        )

    def apply_decision(self, conviction: QuarantineDecision, now: float) -> bool:
        """
        Put a verdict in force; ``True`` if it was news and is to be spread.

        A repeated verdict with the same evidence never prolongs a sentence,
        and once the sentence has ended the request runs on trial at first, so
        that a single further death convicts it again.
        """
        self.expire(now)
        known = self._sentences.get(conviction.fingerprint)
        if known is not None and conviction.deaths <= known.deaths:
            return False
        suspect = self._suspects.get(conviction.fingerprint)
        if suspect is not None and conviction.deaths <= suspect.served:
            return False
        deaths = conviction.deaths | (known.deaths if known else frozenset())
        remaining_s = min(conviction.remaining_s, MAX_SENTENCE_S)
        self._make_room(self._sentences, self.max_convictions)
        self._sentences[conviction.fingerprint] = _Sentence(
            conviction.scope, now + remaining_s, deaths
        )
        self._suspects.pop(conviction.fingerprint, None)
        note_explained(self._explained, deaths, now, self.max_suspects)
        return True

    def list_convictions(
        self, scope: str, now: float
    ) -> tuple[QuarantineDecision, ...]:
        """
        List the verdicts that a peer in region ``scope`` may be told.

        Those of requests bound elsewhere are left out.
        """
        self.expire(now)
        return tuple(
            QuarantineDecision(fingerprint, each.scope, each.until - now, each.deaths)
            for fingerprint, each in self._sentences.items()
            if each.scope in ("", scope)
        )

    def expire(self, now: float) -> None:
        """Forget what has run out."""
        for key in [k for k, each in self._suspects.items() if each.until <= now]:
            del self._suspects[key]
        for key in [k for k, each in self._sentences.items() if each.until <= now]:
            ended = self._sentences.pop(key)
            until = ended.until + EVIDENCE_LIFE_S
            served = ended.deaths
            self._remember(key, _Suspect(ended.scope, served, until, served=served))

    def _clearing(self, fingerprint: Fingerprint) -> int:
        """Return the tokens that take a trial past the point of the death."""
        suspect = self._suspects.get(fingerprint)
        tokens = suspect.tokens + 2 if suspect is not None else 0
        return min(MAX_CLEARING_TOKENS, max(MIN_CLEARING_TOKENS, tokens))

    def _clear(self, fingerprint: Fingerprint) -> None:
        """Drop a suspicion that rests on explained deaths alone."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.deaths <= self._explained.keys():
            del self._suspects[fingerprint]

    def _is_mass(self, target: str, now: float) -> bool:
        self._recent_deaths.append((now, target))
        while self._recent_deaths[0][0] < now - MASS_WINDOW_S:
            self._recent_deaths.popleft()
        return len({each for _, each in self._recent_deaths}) >= MASS_DEATHS

    def _suspect(
        self, flight: _Flight, death: TargetDeath, now: float, alone: bool
    ) -> CrashReport:
        deaths = frozenset({death})
        report = CrashReport(
            flight.fingerprint, flight.scope, deaths, alone, flight.tokens
        )
        return self._add_evidence(report, now)

    def _add_evidence(self, report: CrashReport, now: float) -> CrashReport:
        known = self._suspects.pop(report.fingerprint, None)
        deaths = report.deaths | (known.deaths if known else frozenset())
        served = known.served if known else frozenset()
        tokens = max(report.tokens, known.tokens if known else 0)
        suspect = _Suspect(report.scope, deaths, now + EVIDENCE_LIFE_S, tokens, served)
        self._remember(report.fingerprint, suspect)
        return CrashReport(
            report.fingerprint, report.scope, deaths, report.alone, tokens
        )

    def _remember(self, fingerprint: Fingerprint, suspect: _Suspect) -> None:
        self._make_room(self._suspects, self.max_suspects)
        self._suspects[fingerprint] = suspect

    def _make_room(
        self,
        table: dict[Fingerprint, _Suspect] | dict[Fingerprint, _Sentence],
        limit: int,
    ) -> None:
        while len(table) >= limit:
            del table[min(table, key=lambda key: table[key].until)]


def rank_trial_targets(
    in_flight: Mapping[str, int], excluded: Iterable[str]
) -> tuple[str, ...]:
    """
    Order targets for a trial, the ones with the fewest requests first.

    ``excluded`` are those on which the request was there at a death.
    """
    barred = set(excluded)
    return tuple(
        sorted(
            (target for target in in_flight if target not in barred),
            key=lambda target: (in_flight[target], target),
        )
    )
