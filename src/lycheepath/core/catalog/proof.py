"""
When this host's configuration is known to have been the newest, by its own clock.

A reading of the store proves the time at which it began. A host that doesn't read the
store asks another one, whose reply states what it has and how old its own proof is. The
asker is then proven at the time at which it *sent* the query, less that age, provided
that it has no older version than the replier; delays only make the proof older. A reply
that is ahead waits until this host has caught up. Positions aren't compared: only the
configuration is proven, whose versions never revert, and the readers' positions are
nearly always ahead::

    proof.record_reading(started_at, catalog.version, has_configuration=False)
    proof.record_reply(sent_at - reply.age_s, reply.version)
    proof.settle(catalog.version)
    if proof.age_s(now) <= MAX_VIEW_AGE_S: ...

``docs/design/620-view-proofs.md`` says why this holds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Part of the time within which a revoked key has to be refused everywhere that isn't
# used, in seconds: the store's watches may report nothing for a second while its data
# changes, and half a second is a margin.
STORE_DELAY_S = 1.5
# Largest number of replies that wait until this host has caught up; those of two
# seconds.
MAX_WAITING = 8


@dataclass(frozen=True, slots=True)
class _Reply:
    """A proof that holds once this host has the version."""

    proven_at: float
    version: int


class ViewProof:
    """
    State: when the configuration was proven, and what is known to be missing.

    ``required_version`` is the highest version of a configuration that any host has
    announced. ``incomplete_since`` is when a copy may have left a configuration out
    without saying so, None if there was none.
    """

    def __init__(self) -> None:
        self.proven_at = float("-inf")
        self.required_version = 0
        self.incomplete_since: float | None = None
        self._waiting: list[_Reply] = []

    def age_s(self, now: float) -> float:
        """Return the time since the configuration was known to be the newest."""
        return now - self.proven_at

    def require(self, version: int) -> None:
        """Record that a host has announced a version."""
        self.required_version = max(self.required_version, version)

    def record_gap(self, now: float) -> None:
        """Record that the position may have passed a configuration unnoticed."""
        self.incomplete_since = now

    def lacks_configuration(self, version: int) -> bool:
        """Whether a host with a version may lack a configuration that others have."""
        return self.incomplete_since is not None or version < self.required_version

    def find_known_version(self, version: int) -> int | None:
        """
        Return the highest version that a host with a version knows of.

        It is None if its position may have passed one that it doesn't know of.
        """
        if self.incomplete_since is not None:
            return None
        return max(version, self.required_version)

    def record_reading(
        self, started_at: float, version: int, has_configuration: bool
    ) -> None:
        """
        Record a successful reading of the store that began at a time.

        ``has_configuration`` says that it had the configuration, not only the changes
        since a position, which say nothing of one that the position has passed.
        """
        if version < self.required_version:
            return
        if has_configuration:
            self._end_gap(started_at)
        if self.incomplete_since is None:
            self._prove(started_at)

    def record_reply(self, proven_at: float, version: int) -> None:
        """Record what a peer has, and when it was proven by this host's clock."""
        if proven_at <= self.proven_at:
            return
        self._waiting.append(_Reply(proven_at, version))
        self._waiting.sort(key=lambda reply: reply.proven_at, reverse=True)
        del self._waiting[MAX_WAITING:]

    def settle(self, version: int) -> None:
        """Apply the replies that a host with a version has caught up with."""
        if not self._waiting or version < self.required_version:
            return
        for reply in self._waiting:
            if reply.version <= version:
                self._end_gap(reply.proven_at)
                self._prove(reply.proven_at)
        self._waiting = [r for r in self._waiting if r.proven_at > self.proven_at]

    def _end_gap(self, proven_at: float) -> None:
        if self.incomplete_since is not None and proven_at >= self.incomplete_since:
            self.incomplete_since = None

    def _prove(self, at: float) -> None:
        self.proven_at = max(self.proven_at, at)
