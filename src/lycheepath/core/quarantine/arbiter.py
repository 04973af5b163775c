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
from .evidence import Conviction, Death, warrants_quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .evidence import Report
    from .fingerprints import Fingerprint

TRIAL_LEASE_S = 20.0
TRIAL_RETRY_S = 0.25
EVIDENCE_LIFETIME_S = 900.0
QUARANTINE_S = 300.0
DECISION_DELAY_S = 2.0
MAX_TRACKED = 4096


def arbiter_for(live_hosts: Iterable[str], subject: str) -> str | Absent:
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
class Trial:
    """A granted lease; ``until`` is on the arbiter's clock."""

    holder: str
    expires_at: float


@dataclass(slots=True)
class _Suspicion:
    scope: str
    deaths: frozenset[Death]
    expires_at: float
    quarantined_until: float = 0.0
    decide_at: float | None = None


@dataclass(slots=True)
class Arbiter:
    """
    Suspicions and trial leases at one host, bounded to ``max_tracked`` each.

    ``holder`` names a host's request, so that a repeated question of the same
    one renews its lease.
    """

    quarantine_s: float = QUARANTINE_S
    lease_s: float = TRIAL_LEASE_S
    max_tracked: int = MAX_TRACKED
    _suspicions: dict[Fingerprint, _Suspicion] = field(default_factory=dict)
    _leases: dict[str, Trial] = field(default_factory=dict)
    _explained: dict[Death, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._suspicions) + len(self._leases)

    def report(self, report: Report, now: float) -> Conviction | None:
        """
        Add a host's evidence; return a conviction once it suffices.

        A request that wasn't alone on the target waits a moment for its
        verdict, in which the conviction of another may explain the death.
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
        news = known is None or not report.deaths <= known.deaths
        if news and warrants_quarantine(suspicion.deaths, self._explained):
            suspicion.decide_at = now if report.alone else now + DECISION_DELAY_S
            self._decide_if_due(suspicion, now)
        return self.find_decision(report.fingerprint, now)

    def find_decision(self, fingerprint: Fingerprint, now: float) -> Conviction | None:
        """Return the verdict on a fingerprint while its sentence lasts."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.quarantined_until <= now:
            return None
        return Conviction(
            fingerprint,
            suspicion.scope,
            suspicion.quarantined_until - now,
            suspicion.deaths,
        )

    def grant_trial(
        self, fingerprint: Fingerprint, holder: str, now: float
    ) -> Trial | Conviction | Absent:
        """
        Lease a suspect's next trial to a holder, unless it is convicted.

        An ``Absent`` says when to ask again.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            self._decide_if_due(suspicion, now)
            if suspicion.decide_at is not None:
                return Absent(Reason.IN_PROGRESS, suspicion.decide_at - now)
        conviction = self.find_decision(fingerprint, now)
        if conviction is not None:
            return conviction
        return self._grant_lease(fingerprint.hex(), holder, now)

    def grant_target(self, target: str, holder: str, now: float) -> Trial | Absent:
        """Lease a target for a trial, so that no other trial shares it."""
        return self._grant_lease(target, holder, now)

    def end_trial(self, subject: str, holder: str) -> None:
        """
        Give a lease back: a target's once the request has passed its trial, a
        fingerprint's once the request has ended.
        """
        trial = self._leases.get(subject)
        if trial is not None and trial.holder == holder:
            del self._leases[subject]

    def explain(self, deaths: frozenset[Death], now: float) -> None:
        """Note that a conviction explains deaths, so that others weigh less."""
        self.expire(now)
        record_explained_deaths(self._explained, deaths, now, self.max_tracked)

    def expire(self, now: float) -> None:
        """Forget what has run out."""
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

    def _grant_lease(self, subject: str, holder: str, now: float) -> Trial | Absent:
        self.expire(now)
        trial = self._leases.get(subject)
        if trial is not None and trial.holder != holder:
            return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S)
        if trial is None and len(self._leases) >= self.max_tracked:
            return Absent(Reason.OVERLOADED, TRIAL_RETRY_S)
        granted = Trial(holder, now + self.lease_s)
        self._leases[subject] = granted
        return granted


def record_explained_deaths(
    explained: dict[Death, float], deaths: frozenset[Death], now: float, limit: int
) -> None:
    """Remember explained deaths for as long as evidence lives, the last ones."""
    for death in deaths:
        explained.pop(death, None)
        explained[death] = now + EVIDENCE_LIFETIME_S
    for death in [death for death, until in explained.items() if until <= now]:
        del explained[death]
    while len(explained) > limit:
        del explained[next(iter(explained))]
