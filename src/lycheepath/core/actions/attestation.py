"""
Whether this incarnation may run actions under callers' own keys.

A fresh process can't know what its predecessor ran. Until the resend window
has passed since its start it vouches for no key, unless the predecessor's
claims were handed over to it. It vouches for nothing before peers have shown
that its document isn't an old one, and for a key whose issuer a revision
changed only while the previous issuer confirms that it gave the key up.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .handover import HOLD_S, RETRY_S
from .issuance import list_issuers, previous_issuers_for, select_issuer

if TYPE_CHECKING:
    from ..environment.model import Environment
    from .claims import Claim
    from .handover import Handover

CLOCK_MARGIN = 1.02


@dataclass(frozen=True, slots=True)
class IssuerState:
    """What an issuer says of itself in its messages to other hosts."""

    host: str
    incarnation: str
    revision: int
    established: bool


@dataclass(slots=True)
class _Release:
    revision: int
    asked_at: float


@dataclass(slots=True)
class Attestation:
    """
    What one incarnation knows about its right to run callers' keys.

    ``freshness_s`` is the ledger's, ``hold_s`` the holders'. All times are
    on this process's monotonic clock.
    """

    host: str
    incarnation: str
    started_at: float
    freshness_s: float = 10.0
    hold_s: float = HOLD_S
    _wait_until: float | None = None
    _established: bool = False
    _heard: set[str] = field(default_factory=set)
    _releases: dict[str, _Release] = field(default_factory=dict)
    _ended_since: dict[str, float] = field(default_factory=dict)

    @property
    def established(self) -> bool:
        """Whether peers have confirmed that the document isn't outdated."""
        return self._established

    def apply_revision(self, environment: Environment, region: str, now: float) -> None:
        """Note that a document came into force, before deciding under it."""
        self._ended_since = {
            host: self._ended_since.get(host, now) for host in environment.issuers.ended
        }
        self._establish(environment, region)

    def apply_issuer_state(
        self, peer: IssuerState, environment: Environment, region: str
    ) -> None:
        """
        Take in what another issuer of the region says of itself.

        Only messages that were sent after this process started count.
        """
        if self._established or peer.host not in list_issuers(environment, region):
            return
        if peer.revision > environment.revision:
            return
        self._heard.add(peer.host)
        if peer.established:
            self._established = True
        self._establish(environment, region)

    def accept_handover(self, handover: Handover, revision: int, now: float) -> bool:
        """
        Vouch for the predecessor's keys from now on.

        Returns ``False`` for a handover made under a newer document than the
        one in force here; its records must then not be imported either.
        """
        if handover.host != self.host:
            raise ValueError("a handover of another host was offered")
        if handover.revision > revision:
            return False
        self._wait_until = now + handover.wait_s
        return True

    def remaining_wait(self, window_s: float, now: float) -> float:
        """Return for how long keys can't be vouched for, in seconds."""
        own_wait = max(window_s + self.freshness_s, self.hold_s) * CLOCK_MARGIN
        until = self.started_at + own_wait
        if self._wait_until is not None:
            until = min(until, self._wait_until)
        return max(0.0, until - now)

    def compute_handover_wait_s(self, environment: Environment, now: float) -> float:
        """Return the longest remaining wait over all services, in seconds."""
        windows = (service.resend_window_s for service in environment.services)
        return self.remaining_wait(max(windows, default=0.0), now)

    def apply_release(self, previous: str, revision: int, asked_at: float) -> None:
        """
        Take in that a previous issuer gave its moved keys up.

        ``asked_at`` is when this process asked. The release holds for that
        revision alone and must be renewed by asking again; the records that
        came with it were imported before.
        """
        self._releases[previous] = _Release(revision, asked_at)

    def check_release(
        self, environment: Environment, revision: int, window_s: float, now: float
    ) -> Absent | None:
        """
        Say whether this host, as a previous issuer, may release its keys.

        ``revision`` is the one under which the new issuer asks. ``None``
        allows it: the host is past its own wait, and under the same document
        it runs no key any longer that was given to another host.
        """
        if revision != environment.revision:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S)
        if not self._established:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S)
        wait_s = self.remaining_wait(window_s, now)
        if wait_s:
            return Absent(Reason.KEY_TOO_OLD, wait_s)
        return None

    def check(
        self,
        environment: Environment,
        region: str,
        claim: Claim,
        window_s: float,
        now: float,
    ) -> Absent | None:
        """
        Say whether this incarnation may run a caller's key; ``None`` if so.

        An ``Absent`` names why not and when to come back; the outcome of the
        key is then unknown, never "not run".
        """
        key = (region, claim.team, claim.service, claim.key)
        issuer = select_issuer(environment, *key)
        if isinstance(issuer, Absent):
            return issuer
        if issuer != self.host:
            return Absent(Reason.NOT_OWNER, detail=issuer)
        if not self._established:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S, "waiting for other issuers")
        wait_s = self.remaining_wait(window_s, now)
        if wait_s:
            return Absent(Reason.KEY_TOO_OLD, wait_s)
        for previous in previous_issuers_for(environment, *key):
            if previous != self.host:
                moved = self._check_moved(environment, previous, window_s, now)
                if moved is not None:
                    return moved
        return None

    def _check_moved(
        self, environment: Environment, previous: str, window_s: float, now: float
    ) -> Absent | None:
        release = self._releases.get(previous)
        if release is not None and _covers(release, environment, window_s, now):
            return None
        ended_at = self._ended_since.get(previous)
        if ended_at is None:
            return Absent(
                Reason.KEY_MOVED, RETRY_S, f"waiting for {previous} to release the key"
            )
        ended_wait = (window_s + self.freshness_s) * CLOCK_MARGIN
        wait_s = ended_at + ended_wait - now
        if wait_s > 0:
            return Absent(Reason.KEY_MOVED, wait_s)
        return None

    def _establish(self, environment: Environment, region: str) -> None:
        others = set(list_issuers(environment, region)) - {self.host}
        if others <= self._heard:
            self._established = True


def _covers(
    release: _Release, environment: Environment, window_s: float, now: float
) -> bool:
    recent = now < release.asked_at + window_s
    return recent and release.revision == environment.revision
