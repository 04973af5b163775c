"""
Tracks which targets of its own region a host can reach.

A target is out of reach once a connection to it can't be established, until a probe on a
new connection is answered. The region is suspected to be out of reach if several targets
have become so and none has been heard from since; then all of its targets are, as nothing
shows that they aren't. Any answer from one of its targets ends that. Whether the targets
or the links of this host have failed, only other hosts can tell: an answer that a peer
brings from a target of the region confirms that it is the links::

    reachability.set_targets(("i-1", "i-2", "i-3"), now)
    reachability.record_failure("i-1", "no connection", now)
    reachability.record_failure("i-2", "no connection", now)
    reachability.is_suspected                     # True
    reachability.list_probes(now, 2)              # the targets to probe next
    reachability.record_probe_answer("i-1", now)  # i-1 is in reach again

All times are of the host's monotonic clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..catalog.catalog import StateChange
from .silence import SOUND_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

# Targets that have to fail before the region is suspected, if it has as many.
MIN_FAILED_TARGETS = 2
# Targets that have to fail by themselves, all of the region, before its links count as
# cut without the word of a peer.
MIN_CUT_TARGETS = 3
# Time in seconds for which an answer from any target is awaited before targets are probed.
DOUBT_S = 0.02
# Interval between two probes of one target, in seconds; it doubles up to the largest one
# while the region itself is in reach.
MIN_PROBE_INTERVAL_S = 0.25
MAX_PROBE_INTERVAL_S = 1.0
# If the region is in reach again within this time, in seconds, targets that haven't failed
# by themselves needn't be probed.
SHORT_SUSPICION_S = 1.0
# Time in seconds after which a suspicion counts without the word of a peer, if other regions
# have ready hosts.
LONG_SUSPICION_S = 0.5
# Time in seconds after the end of a long suspicion from which a host may say again that it is
# ready.
READY_AGAIN_S = 0.5
# An answer shows that an earlier break was the target's own if it came this much later, in
# seconds: bytes that had arrived before a cut are read after it.
CONTACT_MARGIN_S = 0.01


@dataclass(slots=True)
class _Link:
    """
    The link to one target.

    ``failed_at`` is when it went out of reach, None while it is in reach, ``last_failed_at``
    when it last failed by itself. ``accepts`` says that a connection was established then,
    and not answered. ``assumed`` says that being out of reach was assumed from
    other targets of the region.
    """

    contact_at: float = float("-inf")
    failed_at: float | None = None
    accepts: bool = False
    last_failed_at: float = float("-inf")
    reason: str = ""
    assumed: bool = False
    probed_at: float = float("-inf")
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    cut: bool = False


class Reachability:
    """
    State: the links to the targets of the region.

    ``contact_at`` is when any of them was last heard from. ``state_changes`` are changes
    that haven't been logged yet, ``returned`` the targets that are in reach again after
    their region was suspected, and haven't been handled yet.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._links: dict[str, _Link] = {}
        self.contact_at = float("-inf")
        self.suspected_at: float | None = None
        self.confirmed = False
        self.state_changes: list[StateChange] = []
        self.returned: list[str] = []
        self._serving_at = float("-inf")
        self._doubted_at: float | None = None

    @property
    def is_suspected(self) -> bool:
        """Whether no target of the region seems to be in reach."""
        return self.suspected_at is not None

    @property
    def is_cut(self) -> bool:
        """Whether the links of this host have failed rather than the targets."""
        if self.suspected_at is None:
            return False
        failed = sum(
            link.failed_at is not None and not link.assumed
            for link in self._links.values()
        )
        return self.confirmed or failed == len(self._links) >= MIN_CUT_TARGETS

    @property
    def needs_probes(self) -> bool:
        """Whether any target has to be probed, now or later."""
        return self._is_doubted() or any(
            link.failed_at is not None for link in self._links.values()
        )

    def set_targets(self, targets: Iterable[str], now: float) -> None:
        """Set the targets of the region; what is known of the others is dropped."""
        known = dict.fromkeys(targets)
        if known.keys() == self._links.keys():
            return
        self._links = {target: self._links.get(target, _Link()) for target in known}
        if self.is_suspected:
            if not known:
                self._end_suspicion(now)
            self._assume_failed(now)

    def list_unreachable(self) -> frozenset[str]:
        """Return the targets to which this host sends nothing itself."""
        return frozenset(
            target for target, link in self._links.items() if link.failed_at is not None
        )

    def list_silent(self, now: float) -> frozenset[str]:
        """
        Return the targets out of reach that may only be silent for a moment.

        They, or all others if that was assumed from others, accept connections and
        haven't answered for ``SOUND_SILENCE_S`` at most.
        """
        if self._doubted_at is None or now - self._doubted_at > SOUND_SILENCE_S:
            return frozenset()
        failed = {
            t: link for t, link in self._links.items() if link.failed_at is not None
        }
        own = [link for link in failed.values() if not link.assumed]
        accept = bool(own) and all(link.accepts for link in own)
        return frozenset(
            target
            for target, link in failed.items()
            if (accept if link.assumed else link.accepts)
        )

    def is_unreachable(self, target: str) -> bool:
        """Whether this host sends nothing to a target itself."""
        link = self._links.get(target)
        return link is not None and link.failed_at is not None

    def is_serving(self, now: float, others_serve: bool) -> bool:
        """
        Whether this host can serve callers as well as others can.

        ``others_serve`` says that hosts of other regions are ready.
        """
        if self.suspected_at is None:
            return now >= self._serving_at
        lasted_s = now - self.suspected_at
        return not (self.confirmed or (others_serve and lasted_s >= LONG_SUSPICION_S))

    def record_doubt(self, since: float) -> None:
        """Record that a target broke a connection, or that none has sent anything."""
        if not self._is_doubted():
            self._doubted_at = since

    def record_failure(
        self, target: str, reason: str, now: float, accepts: bool = False
    ) -> None:
        """
        Record that no connection to a target was established, or a probe failed.

        ``accepts`` says that a connection was established, and not answered.
        """
        link = self._links.get(target)
        if link is None:
            return
        if link.failed_at is None:
            link.failed_at, link.reason = now, reason
            link.probed_at, link.probe_interval_s = now, MIN_PROBE_INTERVAL_S
            self._record_change("target-out-of-reach", target, reason)
        link.assumed = False
        link.accepts = accepts
        link.last_failed_at = now
        self.record_doubt(now)
        if self.suspected_at is None and self._seems_cut():
            self.suspected_at = now
            self.confirmed = False
            failed = sorted(self.list_unreachable())
            detail = f"{reason}; failed: {', '.join(failed)}"
            self._record_change("targets-out-of-reach", self._region, detail)
            self._assume_failed(now)

    def record_contact(self, target: str, at: float) -> None:
        """Record that an answer, or a part of one, came from a target."""
        link = self._links.get(target)
        if link is None:
            return
        link.contact_at = max(link.contact_at, at)
        self.contact_at = max(self.contact_at, at)
        if self.suspected_at is not None and at > self.suspected_at:
            self._end_suspicion(at)

    def record_probe_answer(self, target: str, now: float) -> None:
        """Record that a target has answered a probe, on a new connection."""
        self.record_contact(target, now)
        link = self._links.get(target)
        if link is not None:
            self._clear_failure(target, link, now)

    def record_peer_answer(self, target: str) -> None:
        """
        Record that a peer has passed on an answer from a target of the region.

        It confirms that the links are cut if this host can't reach that target itself;
        one that only seems to be out of reach is probed next.
        """
        link = self._links.get(target)
        if link is None or link.failed_at is None or self.suspected_at is None:
            return
        if link.assumed:
            link.probed_at = float("-inf")
        elif not self.confirmed:
            self.confirmed = True
            self._record_change("targets-reached-by-peer", self._region, target)

    def record_probe(self, target: str, now: float) -> None:
        """Record that a target is being probed."""
        link = self._links.get(target)
        if link is None:
            return
        link.probed_at = now
        if self.suspected_at is None and link.failed_at is not None:
            link.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2.0 * link.probe_interval_s
            )

    def list_probes(self, now: float, limit: int) -> list[str]:
        """Return the targets that are to be probed now, ``limit`` at most."""
        due = []
        if (
            self._is_doubted()
            and self._doubted_at is not None
            and now - self._doubted_at >= DOUBT_S
        ):
            due = [
                (link.probed_at, target)
                for target, link in self._links.items()
                if link.failed_at is None
                and now - link.probed_at >= MIN_PROBE_INTERVAL_S
            ]
            due.sort()
        failed = [
            (link.probed_at, target)
            for target, link in self._links.items()
            if link.failed_at is not None
            and now - link.probed_at
            >= (
                MIN_PROBE_INTERVAL_S
                if self.suspected_at is not None
                else link.probe_interval_s
            )
        ]
        failed.sort()
        return [target for _, target in due + failed][:limit]

    def was_broken_by_target(self, at: float) -> bool:
        """Whether targets have answered since a connection broke at this time."""
        return self.contact_at >= at + CONTACT_MARGIN_S

    def _is_doubted(self) -> bool:
        return self._doubted_at is not None and self.contact_at <= self._doubted_at

    def _seems_cut(self) -> bool:
        """Whether several targets, or the last ones, failed since the last contact."""
        failed = [link for link in self._links.values() if link.failed_at is not None]
        if len(failed) == len(self._links):
            return any(link.last_failed_at > self.contact_at for link in failed)
        recent = sum((link.failed_at or 0.0) > self.contact_at for link in failed)
        return recent >= MIN_FAILED_TARGETS

    def _assume_failed(self, now: float) -> None:
        for link in self._links.values():
            link.cut = True
            if link.failed_at is None:
                link.failed_at, link.reason = now, "no target of the region answers"
                link.assumed = True

    def _end_suspicion(self, now: float) -> None:
        assert self.suspected_at is not None
        lasted_s = now - self.suspected_at
        self.suspected_at = None
        if self.confirmed or lasted_s >= LONG_SUSPICION_S:
            self._serving_at = now + READY_AGAIN_S
        detail = f"after {lasted_s:.3f} s"
        self._record_change("targets-in-reach", self._region, detail)
        if lasted_s < SHORT_SUSPICION_S:
            for target, link in self._links.items():
                link.cut = False
                if link.assumed:
                    self._clear_failure(target, link, now)

    def _clear_failure(self, target: str, link: _Link, now: float) -> None:
        if link.failed_at is None:
            return
        detail = f"after {now - link.failed_at:.3f} s: {link.reason}"
        if not link.assumed:
            self._record_change("target-in-reach", target, detail)
        if link.cut:
            self.returned.append(target)
        link.failed_at, link.reason = None, ""
        link.assumed = link.cut = False

    def _record_change(self, event: str, subject: str, detail: str) -> None:
        self.state_changes.append(StateChange(event, subject, detail))
