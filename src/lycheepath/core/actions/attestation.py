"""
Whether this process incarnation may run actions under callers' keys.

A new process doesn't know which claims its predecessor ran. Until the resend
window has passed since its start, it attests no key, unless the predecessor's
claims were handed over to it. It attests no key before peers have confirmed
that its document isn't outdated. It attests a key whose issuer was changed by a
revision only while the previous issuer confirms that it released the key.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .handover import HOLD_S, RETRY_S
from .issuance import find_previous_issuers, list_issuers, select_issuer

if TYPE_CHECKING:
    from ..environment.model import Environment
    from .claims import Claim
    from .handover import Handover

CLOCK_MARGIN = 1.02


@dataclass(frozen=True, slots=True)
class IssuerState:
    """The state that an issuer reports in its messages to other hosts."""

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
    The conditions under which one incarnation may run callers' keys.

    ``freshness_s`` is the ledger's and ``hold_s`` that of the hosts that hold
    handovers. All times are in seconds on this process's monotonic clock.
    """

    host: str
    incarnation: str
    started_at: float
    freshness_s: float = 10.0
    hold_s: float = HOLD_S
    _wait_until: float | None = None
    _established: bool = False
    _reporting_issuers: set[str] = field(default_factory=set)
    _releases: dict[str, _Release] = field(default_factory=dict)
    _ended_since: dict[str, float] = field(default_factory=dict)

    @property
    def established(self) -> bool:
        """Whether peers have confirmed that the document isn't outdated."""
        return self._established

    def apply_revision(self, environment: Environment, region: str, now: float) -> None:
        """Apply a document, before any decision under it."""
        self._ended_since = {
            host: self._ended_since.get(host, now) for host in environment.issuers.ended
        }
        self._update_established(environment, region)

    def apply_issuer_state(
        self, peer: IssuerState, environment: Environment, region: str
    ) -> None:
        """
        Apply the reported state of another issuer of the region.

        Only messages that were sent after this process started may be applied.
        """
        if self._established or peer.host not in list_issuers(environment, region):
            return
        if peer.revision > environment.revision:
            return
        self._reporting_issuers.add(peer.host)
        if peer.established:
            self._established = True
        self._update_established(environment, region)

    def accept_handover(self, handover: Handover, revision: int, now: float) -> bool:
        """
        Attest the predecessor's keys from now on.

        Returns ``False`` for a handover made under a newer document than the
        one in force here; its records must not be imported in that case.
        """
        if handover.host != self.host:
            raise ValueError("a handover of another host was offered")
        if handover.revision > revision:
            return False
        self._wait_until = now + handover.wait_s
        return True

    def compute_remaining_wait_s(self, window_s: float, now: float) -> float:
        """Return for how long keys can't be attested, in seconds."""
        required_wait_s = max(window_s + self.freshness_s, self.hold_s) * CLOCK_MARGIN
        until = self.started_at + required_wait_s
        if self._wait_until is not None:
            until = min(until, self._wait_until)
        return max(0.0, until - now)

    def compute_handover_wait_s(self, environment: Environment, now: float) -> float:
        """Return the longest remaining wait over all services, in seconds."""
        windows = (service.resend_window_s for service in environment.services)
        return self.compute_remaining_wait_s(max(windows, default=0.0), now)

    def apply_release(self, previous: str, revision: int, asked_at: float) -> None:
        """
        Apply a previous issuer's release of the keys that moved to this host.

        ``asked_at`` is when this process requested the release. It is valid for
        that revision only and must be renewed by further requests. The records
        sent with it must have been imported before.
        """
        self._releases[previous] = _Release(revision, asked_at)

    def check_release(
        self, environment: Environment, revision: int, window_s: float, now: float
    ) -> Absent | None:
        """
        Check whether this host, as a previous issuer, may release its keys.

        ``revision`` is the new issuer's configuration revision. ``None`` allows
        the release: this host's own waiting time is over, and under the same
        document it no longer runs any key that was assigned to another host.
        """
        if revision != environment.revision:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S)
        if not self._established:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S)
        wait_s = self.compute_remaining_wait_s(window_s, now)
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
        Check whether this incarnation may run a caller's key; ``None`` if so.

        An ``Absent`` holds the reason why not and when to retry; the outcome of
        the key is then unknown, never "not run".
        """
        key = (region, claim.team, claim.service, claim.key)
        issuer = select_issuer(environment, *key)
        if isinstance(issuer, Absent):
            return issuer
        if issuer != self.host:
            return Absent(Reason.NOT_OWNER, detail=issuer)
        if not self._established:
            return Absent(Reason.VIEW_TOO_OLD, RETRY_S, "waiting for other issuers")
        wait_s = self.compute_remaining_wait_s(window_s, now)
        if wait_s:
            return Absent(Reason.KEY_TOO_OLD, wait_s)
        for previous in find_previous_issuers(environment, *key):
            if previous != self.host:
                moved = self._check_moved_key(environment, previous, window_s, now)
                if moved is not None:
                    return moved
        return None

    def _check_moved_key(
        self, environment: Environment, previous: str, window_s: float, now: float
    ) -> Absent | None:
        release = self._releases.get(previous)
        if release is not None and _is_release_valid(
            release, environment, window_s, now
        ):
            return None
        ended_at = self._ended_since.get(previous)
        if ended_at is None:
            return Absent(
                Reason.KEY_MOVED, RETRY_S, f"waiting for {previous} to release the key"
            )
        ended_wait_s = (window_s + self.freshness_s) * CLOCK_MARGIN
        wait_s = ended_at + ended_wait_s - now
        if wait_s > 0:
            return Absent(Reason.KEY_MOVED, wait_s)
        return None

    def _update_established(self, environment: Environment, region: str) -> None:
        others = set(list_issuers(environment, region)) - {self.host}
        if others <= self._reporting_issuers:
            self._established = True


def _is_release_valid(
    release: _Release, environment: Environment, window_s: float, now: float
) -> bool:
    is_recent = now < release.asked_at + window_s
    return is_recent and release.revision == environment.revision
