"""
Quarantine state of one host: in-flight requests, suspects, quarantine entries.

When a target dies, all requests in flight on it are suspects. Each is run
again on trial, apart from other suspects, until it has passed the point at
which the target died. A request that was in flight at two deaths is
quarantined: it is refused at once for a bounded time. The deaths that it
explains no longer suffice as evidence against the other requests::

    status = containment.admit(fingerprints, now)
    if isinstance(status, Absent):
        return refuse(status)
    if status is QuarantineStatus.SUSPECT:
        ...  # request a trial lease from the arbiters before sending
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .arbiter import EVIDENCE_LIFETIME_S, QUARANTINE_S, record_explained_deaths
from .evidence import CrashReport, QuarantineDecision, TargetDeath, warrants_quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .fingerprints import Fingerprint

MIN_TRIAL_TOKENS = 3
MAX_TRIAL_TOKENS = 32
MASS_FAILURE_TARGETS = 8
MASS_FAILURE_WINDOW_S = 2.0
MAX_QUARANTINED = 4096
MAX_SUSPECTS = 4096
MAX_QUARANTINE_S = 3600.0


class QuarantineInvariantError(AssertionError):
    """A quarantined or suspect request was about to be sent without permission."""


class QuarantineStatus(Enum):
    """Whether a request may be sent freely or on trial only."""

    CLEAR = "clear"
    SUSPECT = "suspect"


@dataclass(slots=True)
class _InFlightRequest:
    fingerprint: Fingerprint
    scope: str
    target: str
    on_trial: bool
    tokens: int = 0


@dataclass(slots=True)
class _Suspect:
    scope: str
    deaths: frozenset[TargetDeath]
    expires_at: float
    tokens: int = 0
    quarantined_deaths: frozenset[TargetDeath] = frozenset()


@dataclass(slots=True)
class _QuarantineEntry:
    scope: str
    expires_at: float
    deaths: frozenset[TargetDeath]


@dataclass(slots=True)
class Containment:
    """
    Suspects and quarantine entries of one host.

    Both tables are bounded; the entries that expire first are evicted.
    """

    max_quarantined: int = MAX_QUARANTINED
    max_suspects: int = MAX_SUSPECTS
    _in_flight: dict[str, _InFlightRequest] = field(default_factory=dict)
    _suspects: dict[Fingerprint, _Suspect] = field(default_factory=dict)
    _quarantined: dict[Fingerprint, _QuarantineEntry] = field(default_factory=dict)
    _explained: dict[TargetDeath, float] = field(default_factory=dict)
    _recent_deaths: deque[tuple[float, str]] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self._suspects) + len(self._quarantined)

    def admit(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> QuarantineStatus | Absent:
        """
        Return how a request may be sent, or a refusal if it is quarantined.

        The refusal holds the remaining quarantine time, which further requests
        do not prolong.
        """
        self.expire(now)
        for fingerprint in fingerprints:
            entry = self._quarantined.get(fingerprint)
            if entry is not None:
                return Absent(Reason.QUARANTINED, entry.expires_at - now)
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
        Record that a request is sent to a target now.

        Raises ``QuarantineInvariantError`` for a quarantined request, and for
        a suspect that is not on trial.
        """
        if fingerprint in self._quarantined:
            raise QuarantineInvariantError("a quarantined request was about to be sent")
        if fingerprint in self._suspects and not trial:
            raise QuarantineInvariantError(
                "a suspect was about to be sent without a trial"
            )
        self._in_flight[request_id] = _InFlightRequest(
            fingerprint, scope, target, trial
        )

    def find_running_copy(self, fingerprint: Fingerprint) -> str | None:
        """
        Return the target on which this host already runs the same request.

        Sending a copy to that target rather than to another limits the loss
        to one target if the request crashes it.
        """
        for request in self._in_flight.values():
            if request.fingerprint == fingerprint:
                return request.target
        return None

    def find_death_targets(self, fingerprint: Fingerprint) -> frozenset[str]:
        """Return the targets that died with a request in flight on them."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(death.target for death in suspect.deaths)

    def record_token(self, request_id: str) -> bool:
        """
        Record one more token; ``True`` once, when the trial has been passed.

        The caller then releases the lease on the target; it releases the lease
        on the fingerprint when the request has ended.
        """
        request = self._in_flight.get(request_id)
        if request is None:
            return False
        request.tokens += 1
        if not request.on_trial or request.tokens < self._required_trial_tokens(
            request.fingerprint
        ):
            return False
        request.on_trial = False
        self._clear_if_explained(request.fingerprint)
        return True

    def record_end(self, request_id: str) -> None:
        """Record that a request has ended at its target, complete or cancelled."""
        self._in_flight.pop(request_id, None)

    def record_target_death(
        self, target: str, instance: str, now: float, alone: bool = False
    ) -> tuple[Mapping[str, QuarantineStatus], tuple[CrashReport, ...]]:
        """
        Record that a target died.

        Returns the requests that were in flight on it, with how each may be
        sent again, and the reports to send to the fingerprints' arbiters.
        ``alone`` says that the target's last load report showed one request. A
        request on trial counts as alone: the others on its target run for the
        first time or have passed the point at which their target died.
        """
        self.expire(now)
        death = TargetDeath(target, instance, self._is_mass_failure(target, now))
        affected = [
            key for key, each in self._in_flight.items() if each.target == target
        ]
        reports: dict[Fingerprint, CrashReport] = {}
        for request_id in affected:
            request = self._in_flight.pop(request_id)
            only = request.on_trial or (alone and len(affected) == 1)
            report = self._report_suspect(request, death, now, only)
            reports[request.fingerprint] = report
        return dict.fromkeys(affected, QuarantineStatus.SUSPECT), tuple(
            reports.values()
        )

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """
        Apply a peer's evidence; ``True`` if it was new.

        From then on, this host runs the request on trial only.
        """
        self.expire(now)
        if report.fingerprint in self._quarantined:
            return False
        known = self._suspects.get(report.fingerprint)
        if known is not None and report.deaths <= known.deaths:
            return False
        self._add_evidence(report, now)
        return True

    def decide_locally(self, report: CrashReport) -> QuarantineDecision | None:
        """
        Return a decision on this host's evidence, if it suffices.

        To be used only when no arbiter answers: an arbiter delays its decision
        on a request that was not alone on the target, so that another request
        that was can be quarantined first.
        """
        if not warrants_quarantine(report.deaths, self._explained):
            return None
        return QuarantineDecision(
            report.fingerprint, report.scope, QUARANTINE_S, report.deaths
        )

    def apply_decision(self, decision: QuarantineDecision, now: float) -> bool:
        """
        Apply a decision; ``True`` if it was new and must be sent to peers.

        A repeated decision with the same evidence never prolongs a quarantine.
        Once the quarantine has ended, the request runs on trial first, and a
        single further death quarantines it again.
        """
        self.expire(now)
        known = self._quarantined.get(decision.fingerprint)
        if known is not None and decision.deaths <= known.deaths:
            return False
        suspect = self._suspects.get(decision.fingerprint)
        if suspect is not None and decision.deaths <= suspect.quarantined_deaths:
            return False
        deaths = decision.deaths | (known.deaths if known else frozenset())
        remaining_s = min(decision.remaining_s, MAX_QUARANTINE_S)
        self._evict_entries(self._quarantined, self.max_quarantined)
        self._quarantined[decision.fingerprint] = _QuarantineEntry(
            decision.scope, now + remaining_s, deaths
        )
        self._suspects.pop(decision.fingerprint, None)
        record_explained_deaths(self._explained, deaths, now, self.max_suspects)
        return True

    def list_decisions(self, scope: str, now: float) -> tuple[QuarantineDecision, ...]:
        """
        List the decisions that may be sent to a peer in region ``scope``.

        Decisions on requests that are bound to other regions are left out.
        """
        self.expire(now)
        return tuple(
            QuarantineDecision(
                fingerprint, each.scope, each.expires_at - now, each.deaths
            )
            for fingerprint, each in self._quarantined.items()
            if each.scope in ("", scope)
        )

    def expire(self, now: float) -> None:
        """
        Remove expired suspects; turn expired quarantine entries into suspects.
        """
        for key in [k for k, each in self._suspects.items() if each.expires_at <= now]:
            del self._suspects[key]
        for key in [
            k for k, each in self._quarantined.items() if each.expires_at <= now
        ]:
            ended = self._quarantined.pop(key)
            expires_at = ended.expires_at + EVIDENCE_LIFETIME_S
            deaths = ended.deaths
            self._store_suspect(
                key,
                _Suspect(
                    ended.scope,
                    deaths,
                    expires_at,
                    quarantined_deaths=deaths,
                ),
            )

    def _required_trial_tokens(self, fingerprint: Fingerprint) -> int:
        """
        Return after how many tokens a trial is passed.

        That is two tokens beyond the point at which the target died, within
        ``MIN_TRIAL_TOKENS`` and ``MAX_TRIAL_TOKENS``.
        """
        suspect = self._suspects.get(fingerprint)
        tokens = suspect.tokens + 2 if suspect is not None else 0
        return min(MAX_TRIAL_TOKENS, max(MIN_TRIAL_TOKENS, tokens))

    def _clear_if_explained(self, fingerprint: Fingerprint) -> None:
        """Remove a suspect if all of its deaths are explained."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.deaths <= self._explained.keys():
            del self._suspects[fingerprint]

    def _is_mass_failure(self, target: str, now: float) -> bool:
        self._recent_deaths.append((now, target))
        while self._recent_deaths[0][0] < now - MASS_FAILURE_WINDOW_S:
            self._recent_deaths.popleft()
        return len({each for _, each in self._recent_deaths}) >= MASS_FAILURE_TARGETS

    def _report_suspect(
        self, request: _InFlightRequest, death: TargetDeath, now: float, alone: bool
    ) -> CrashReport:
        deaths = frozenset({death})
        report = CrashReport(
            request.fingerprint, request.scope, deaths, alone, request.tokens
        )
        return self._add_evidence(report, now)

    def _add_evidence(self, report: CrashReport, now: float) -> CrashReport:
        known = self._suspects.pop(report.fingerprint, None)
        deaths = report.deaths | (known.deaths if known else frozenset())
        quarantined_deaths = known.quarantined_deaths if known else frozenset()
        tokens = max(report.tokens, known.tokens if known else 0)
        suspect = _Suspect(
            report.scope, deaths, now + EVIDENCE_LIFETIME_S, tokens, quarantined_deaths
        )
        self._store_suspect(report.fingerprint, suspect)
        return CrashReport(
            report.fingerprint, report.scope, deaths, report.alone, tokens
        )

    def _store_suspect(self, fingerprint: Fingerprint, suspect: _Suspect) -> None:
        self._evict_entries(self._suspects, self.max_suspects)
        self._suspects[fingerprint] = suspect

    def _evict_entries(
        self,
        table: dict[Fingerprint, _Suspect] | dict[Fingerprint, _QuarantineEntry],
        limit: int,
    ) -> None:
        while len(table) >= limit:
            del table[min(table, key=lambda key: table[key].expires_at)]


def rank_trial_targets(
    in_flight: Mapping[str, int], excluded: Iterable[str]
) -> tuple[str, ...]:
    """
    Order targets for a trial by their number of requests, lowest first.

    ``excluded`` are the targets that died with the request in flight.
    """
    excluded_set = set(excluded)
    return tuple(
        sorted(
            (target for target in in_flight if target not in excluded_set),
            key=lambda target: (in_flight[target], target),
        )
    )
