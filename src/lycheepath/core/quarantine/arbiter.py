"""
The arbiter of trials: one host of a region for each fingerprint and target.

A suspect request is run again only on trial: by one host at a time, on a
target that runs no other trial. The arbiter of a fingerprint collects the
deaths that any host of the region reports for it and grants its trials; the
arbiter of a target grants the target. Both are computed by rendezvous over
the hosts that are up. A wrong view of who is up costs at most one more trial;
nothing else depends on it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..actions.issuance import rank_hosts
from ..reasons import Absent, Reason
from .evidence import QuarantineDecision, TargetDeath, convicts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .evidence import CrashReport
    from .fingerprints import Fingerprint

TRIAL_LEASE_S = 20.0
TRIAL_RETRY_S = 0.25
EVIDENCE_LIFE_S = 900.0
SENTENCE_S = 300.0
VERDICT_HOLD_S = 2.0
MAX_TRACKED = 4096


def find_arbiter(live_hosts: Iterable[str], subject: str) -> str | Absent:
    """
    Return the host that arbitrates ``subject``.

    ``live_hosts`` are the hosts of the region that are believed to be up;
    ``subject`` is a target's id or a fingerprint in hexadecimal.
    """
    ranked = rank_hosts(live_hosts, "quarantine", subject, "")
    if not ranked:
        return Absent(Reason.OWNER_UNREACHABLE)
    return ranked[0]


@dataclass(frozen=True, slots=True)
class TrialLease:
    """A granted lease; ``until`` is on the arbiter's clock."""

    holder: str
    until: float


@dataclass(slots=True)
class _Suspicion:
    scope: str
    deaths: frozenset[TargetDeath]
    until: float
    sentence_until: float = 0.0
    verdict_at: float | None = None


@dataclass(slots=True)
class Arbiter:
    """
    Suspicions and trial leases at one host, bounded to ``max_tracked`` each.

    ``holder`` names a host's request, so that a repeated question of the same
    one renews its lease.
    """

    sentence_s: float = SENTENCE_S
    lease_s: float = TRIAL_LEASE_S
    max_tracked: int = MAX_TRACKED
    _suspicions: dict[Fingerprint, _Suspicion] = field(default_factory=dict)
    _trials: dict[str, TrialLease] = field(default_factory=dict)
    _explained: dict[TargetDeath, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspicions) + len(self._trials)

    def add_report(self, report: CrashReport, now: float) -> QuarantineDecision | None:
        """
        Add a host's evidence; return a conviction once it suffices.

        A request that wasn't alone on the target waits a moment for its
        verdict, in which the conviction of another may explain the death.
        """
        self.expire(now)
        known = self._suspicions.pop(report.fingerprint, None)
        suspicion = _Suspicion(report.scope, report.deaths, now + EVIDENCE_LIFE_S)
        if known is not None:
            suspicion.deaths |= known.deaths
            suspicion.sentence_until = known.sentence_until
            suspicion.verdict_at = known.verdict_at
        while len(self._suspicions) >= self.max_tracked:
            del self._suspicions[next(iter(self._suspicions))]
        self._suspicions[report.fingerprint] = suspicion
        news = known is None or not report.deaths <= known.deaths
        if news and convicts(suspicion.deaths, self._explained):
            suspicion.verdict_at = now if report.alone else now + VERDICT_HOLD_S
            self._settle(suspicion, now)
        return self.find_conviction(report.fingerprint, now)

    def find_conviction(
        self, fingerprint: Fingerprint, now: float
    ) -> QuarantineDecision | None:
        """Return the verdict on a fingerprint while its sentence lasts."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.sentence_until <= now:
            return None
        return QuarantineDecision(
            fingerprint,
            suspicion.scope,
            suspicion.sentence_until - now,
            suspicion.deaths,
        )

    def grant_trial(
        self, fingerprint: Fingerprint, holder: str, now: float
    ) -> TrialLease | QuarantineDecision | Absent:
        """
        Lease a suspect's next trial to a holder, unless it is convicted.

        An ``Absent`` says when to ask again.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            self._settle(suspicion, now)
            if suspicion.verdict_at is not None:
                return Absent(Reason.IN_PROGRESS, suspicion.verdict_at - now)
        conviction = self.find_conviction(fingerprint, now)
        if conviction is not None:
            return conviction
        return self._lease(fingerprint.hex(), holder, now)

    def grant_target(self, target: str, holder: str, now: float) -> TrialLease | Absent:
        """Lease a target for a trial, so that no other trial shares it."""
        return self._lease(target, holder, now)

    def release_lease(self, subject: str, holder: str) -> None:
        """
        Give a lease back: a target's once the request has passed its trial, a
        fingerprint's once the request has ended.
        """
        trial = self._trials.get(subject)
        if trial is not None and trial.holder == holder:
            del self._trials[subject]

    def mark_explained(self, deaths: frozenset[TargetDeath], now: float) -> None:
        """Note that a conviction explains deaths, so that others weigh less."""
        self.expire(now)
        note_explained(self._explained, deaths, now, self.max_tracked)

    def expire(self, now: float) -> None:
        """Forget what has run out."""
        for key in [k for k, each in self._suspicions.items() if each.until <= now]:
            del self._suspicions[key]
        for subject in [k for k, each in self._trials.items() if each.until <= now]:
            del self._trials[subject]

    def _settle(self, suspicion: _Suspicion, now: float) -> None:
        if suspicion.verdict_at is None or now < suspicion.verdict_at:
            return
        suspicion.verdict_at = None
        if convicts(suspicion.deaths, self._explained):
            suspicion.sentence_until = now + self.sentence_s

    def _lease(self, subject: str, holder: str, now: float) -> TrialLease | Absent:
        self.expire(now)
        trial = self._trials.get(subject)
        if trial is not None and trial.holder != holder:
            return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S)
        if trial is None and len(self._trials) >= self.max_tracked:
            return Absent(Reason.OVERLOADED, TRIAL_RETRY_S)
        granted = TrialLease(holder, now + self.lease_s)
        self._trials[subject] = granted
        return granted


def note_explained(
    explained: dict[TargetDeath, float],
    deaths: frozenset[TargetDeath],
    now: float,
    limit: int,
) -> None:
    """Remember explained deaths for as long as evidence lives, the last ones."""
    for death in deaths:
        explained.pop(death, None)
        explained[death] = now + EVIDENCE_LIFE_S
    for death in [death for death, until in explained.items() if until <= now]:
        del explained[death]
    while len(explained) > limit:
        del explained[next(iter(explained))]
