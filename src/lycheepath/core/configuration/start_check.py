"""
The check that a starting process makes before it serves with a configuration.

The platform's service may return a stale revision, and a starting process has
no state of its own to compare it with. It queries peers for the revision that
they have in force and serves once it has the highest revision reported. The
wait is bounded, because a host that can reach no peer must still serve its
region.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REQUIRED_ANSWERS = 3
MAX_ANSWER_WAIT_S = 2.0
MAX_CONTENT_WAIT_S = 5.0


@dataclass(slots=True)
class StartCheck:
    """
    The revisions that peers reported to a starting process.

    ``queried_peers`` holds the ids of the peers that were queried, ``answers``
    the revision of each that answered. Times are on one monotonic clock.
    """

    started_s: float
    queried_peers: frozenset[str] = frozenset()
    answers: dict[str, int] = field(default_factory=dict)

    def record_answer(self, peer: str, revision: int) -> None:
        """Record which revision a peer has in force; 0 means none."""
        if peer in self.queried_peers:
            self.answers[peer] = max(revision, self.answers.get(peer, 0))

    def may_serve(self, revision_in_force: int, now: float) -> bool:
        """
        Return whether the process may serve with ``revision_in_force``.

        Zero means that no revision is in force; the process may not serve then.
        """
        if revision_in_force == 0:
            return False
        if revision_in_force < max(self.answers.values(), default=0):
            return now - self.started_s >= MAX_CONTENT_WAIT_S
        enough = min(REQUIRED_ANSWERS, len(self.queried_peers))
        if len(self.answers) >= enough:
            return True
        return now - self.started_s >= MAX_ANSWER_WAIT_S
