"""
What a fresh process waits for before it trusts the configuration it has read.

The platform's service may be stale, and a fresh process remembers nothing. It
asks peers which revision they have in force and serves only when it has the
highest of what it heard. It does not wait for ever: cut off from everybody, it
must still serve its own region.
"""

from __future__ import annotations

from dataclasses import dataclass, field

REQUIRED_ANSWERS = 3
MAX_ANSWER_WAIT_S = 2.0
MAX_CONTENT_WAIT_S = 5.0


@dataclass(slots=True)
class StartCheck:
    """
    The answers to a fresh process; times are on one monotonic clock.

    ``queried_peers`` are the ids of the peers that were queried_peers; ``answers`` the
    revision of each that answered.
    """

    started_s: float
    queried_peers: frozenset[str] = frozenset()
    answers: dict[str, int] = field(default_factory=dict)

    def record_answer(self, peer: str, revision: int) -> None:
        """Note which revision a peer has in force; 0 means none."""
        if peer in self.queried_peers:
            self.answers[peer] = max(revision, self.answers.get(peer, 0))

    def may_serve(self, revision_in_force: int, now: float) -> bool:
        """
        Tell whether the process may serve with ``revision_in_force``.

        Zero means that it has none, and it never may.
        """
        if revision_in_force == 0:
            return False
        if revision_in_force < max(self.answers.values(), default=0):
            return now - self.started_s >= MAX_CONTENT_WAIT_S
        enough = min(REQUIRED_ANSWERS, len(self.queried_peers))
        if len(self.answers) >= enough:
            return True
        return now - self.started_s >= MAX_ANSWER_WAIT_S
