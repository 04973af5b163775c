"""
Arbitration of trials: one host of a region for each fingerprint and target.

A suspect request is run again only on trial: by one host at a time, on a
target that runs no other trial. The arbiter of a fingerprint collects the
target deaths that the hosts of the region report for it and grants leases for
its trials; the arbiter of a target grants leases on the target. Both are
chosen by rendezvous hashing over the reachable hosts. If hosts disagree about
which hosts are reachable, at most one additional trial runs; nothing else
depends on that view.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..actions.issuance import rank_hosts
from ..reasons import Absent, Reason
from .evidence import QuarantineDecision, TargetDeath, warrants_quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .evidence import CrashReport
    from .fingerprints import Fingerprint

TRIAL_LEASE_S = 20.0
TRIAL_RETRY_S = 0.25
EVIDENCE_LIFETIME_S = 900.0
QUARANTINE_S = 300.0
DECISION_DELAY_S = 2.0
MAX_TRACKED = 4096


def find_arbiter(live_hosts: Iterable[str], subject: str) -> str | Absent:
    """
    Return the host that arbitrates ``subject``.

    ``live_hosts`` are the hosts of the region that are considered reachable;
    ``subject`` is a target's id or a fingerprint in hexadecimal.
    """
    ranked = rank_hosts(live_hosts, "quarantine", subject, "")
    if not ranked:
        return Absent(Reason.OWNER_UNREACHABLE)
    return ranked[0]


@dataclass(frozen=True, slots=True)
class TrialLease:
    """A granted lease; ``expires_at`` is on the arbiter's clock, in seconds."""

    holder: str
    expires_at: float


@dataclass(slots=True)
class _Suspicion:
    scope: str
    deaths: frozenset[TargetDeath]
    expires_at: float
    quarantined_until: float = 0.0
    decide_at: float | None = None


@dataclass(slots=True)
class Arbiter:
    """
    Suspicions and trial leases at one host, bounded to ``max_tracked`` each.

    ``holder`` identifies a request of a host. A repeated call for the same
    holder renews its lease.
    """

    quarantine_s: float = QUARANTINE_S
    lease_s: float = TRIAL_LEASE_S
    max_tracked: int = MAX_TRACKED
    _suspicions: dict[Fingerprint, _Suspicion] = field(default_factory=dict)
    _leases: dict[str, TrialLease] = field(default_factory=dict)
    _explained: dict[TargetDeath, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspicions) + len(self._leases)

    def add_report(self, report: CrashReport, now: float) -> QuarantineDecision | None:
        """
        Add a host's evidence; return a quarantine decision once it suffices.

        If other requests ran on the target as well, the decision is delayed by
        ``DECISION_DELAY_S``, since the quarantine of one of them may explain
        the death.
        """
        self.expire(now)
        known = self._suspicions.pop(report.fingerprint, None)
        suspicion = _Suspicion(report.scope, report.deaths, now + EVIDENCE_LIFETIME_S)
        if known is not None:
            suspicion.deaths |= known.deaths
            suspicion.quarantined_until = known.quarantined_until
            suspicion.decide_at = known.decide_at
        while len(self._suspicions) >= self.max_tracked:
            del self._suspicions[next(iter(self._suspicions))]
        self._suspicions[report.fingerprint] = suspicion
        is_new = known is None or not report.deaths <= known.deaths
        if is_new and warrants_quarantine(suspicion.deaths, self._explained):
            suspicion.decide_at = now if report.alone else now + DECISION_DELAY_S
            self._decide_if_due(suspicion, now)
        return self.find_decision(report.fingerprint, now)

    def find_decision(
        self, fingerprint: Fingerprint, now: float
    ) -> QuarantineDecision | None:
        """Return the decision on a fingerprint while its quarantine lasts."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.quarantined_until <= now:
            return None
        return QuarantineDecision(
            fingerprint,
            suspicion.scope,
            suspicion.quarantined_until - now,
            suspicion.deaths,
        )

    def grant_trial(
        self, fingerprint: Fingerprint, holder: str, now: float
    ) -> TrialLease | QuarantineDecision | Absent:
        """
        Lease a suspect's next trial to a holder, unless it is quarantined.

        An ``Absent`` holds the time after which to retry.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            self._decide_if_due(suspicion, now)
            if suspicion.decide_at is not None:
                return Absent(Reason.IN_PROGRESS, suspicion.decide_at - now)
        decision = self.find_decision(fingerprint, now)
        if decision is not None:
            return decision
        return self._grant_lease(fingerprint.hex(), holder, now)

    def grant_target(self, target: str, holder: str, now: float) -> TrialLease | Absent:
        """Lease a target for a trial, so that no other trial runs on it."""
        return self._grant_lease(target, holder, now)

    def release_lease(self, subject: str, holder: str) -> None:
        """
        Release a lease: of a target once the request has passed its trial, of
        a fingerprint once the request has ended.
        """
        lease = self._leases.get(subject)
        if lease is not None and lease.holder == holder:
            del self._leases[subject]

    def mark_explained(self, deaths: frozenset[TargetDeath], now: float) -> None:
        """
        Record deaths that a quarantine decision explains.

        They no longer suffice as the only evidence against other requests.
        """
        self.expire(now)
        record_explained_deaths(self._explained, deaths, now, self.max_tracked)

    def expire(self, now: float) -> None:
        """Remove expired suspicions and leases."""
        for key in [
            k for k, each in self._suspicions.items() if each.expires_at <= now
        ]:
            del self._suspicions[key]
        for subject in [
            k for k, each in self._leases.items() if each.expires_at <= now
        ]:
            del self._leases[subject]

    def _decide_if_due(self, suspicion: _Suspicion, now: float) -> None:
        if suspicion.decide_at is None or now < suspicion.decide_at:
            return
        suspicion.decide_at = None
        if warrants_quarantine(suspicion.deaths, self._explained):
            suspicion.quarantined_until = now + self.quarantine_s

    def _grant_lease(
        self, subject: str, holder: str, now: float
    ) -> TrialLease | Absent:
        self.expire(now)
        lease = self._leases.get(subject)
        if lease is not None and lease.holder != holder:
            return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S)
        if lease is None and len(self._leases) >= self.max_tracked:
            return Absent(Reason.OVERLOADED, TRIAL_RETRY_S)
        granted = TrialLease(holder, now + self.lease_s)
        self._leases[subject] = granted
        return granted


def record_explained_deaths(
    explained: dict[TargetDeath, float],
    deaths: frozenset[TargetDeath],
    now: float,
    limit: int,
) -> None:
    """
    Keep explained deaths for ``EVIDENCE_LIFETIME_S``, at most ``limit`` of them.

    Beyond the limit, the oldest are dropped.
    """
    for death in deaths:
        explained.pop(death, None)
        explained[death] = now + EVIDENCE_LIFETIME_S
    for death in [death for death, until in explained.items() if until <= now]:
        del explained[death]
    while len(explained) > limit:
        del explained[next(iter(explained))]
