"""
Passive outlier detection for targets that still accept connections.

A target's health is derived from the outcome of its requests: consecutive
failures, the ratio of failures, and wrong answers. An outlier is ejected for a
time that doubles with each ejection soon after the previous one, and is then
probed by single requests. The limit on how many targets are ejected at the
same time is applied by the caller, which knows the other targets; see
``may_eject``.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_CONSECUTIVE_FAILURES = 3
MAX_FAILURE_RATIO = 0.5
FAILURE_DECAY = 0.9
MIN_OBSERVATIONS = 8
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0
EJECTION_RESET_S = 120.0
MAX_CONCURRENT_PROBES = 1
MAX_EJECTED_SHARE = 0.5
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0
MAX_COUNTED_REFUSALS = 16
# Time for which a silent target is used only if there is no other.
SILENCE_PAUSE_S = 1.0


@dataclass(slots=True)
class TargetHealth:
    """The outcomes of one target's requests and the state derived from them."""

    consecutive_failures: int = 0
    observations: int = 0
    failure_ratio: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    last_ejected_at: float = float("-inf")
    on_probation: bool = False
    refusals: int = 0
    paused_until: float = 0.0
    refused_at: float = float("-inf")
    silent_since: float = float("inf")
    silent_until: float = float("-inf")

    def record_success(self) -> None:
        """Record a complete answer; it ends the probation of an ejected target."""
        self.record_contact()
        self.consecutive_failures = 0
        self.observations += 1
        self.failure_ratio *= FAILURE_DECAY
        if self.on_probation:
            self.on_probation = False
            self.failure_ratio = 0.0
            self.observations = 0

    def record_refusal(self, now: float) -> None:
        """
        Record a connection that could not be established.

        This pauses the target for a time that doubles with each consecutive
        refusal. The number of paused targets needs no limit: a paused target
        is still used if there is no other.
        """
        pause_s = min(FIRST_PAUSE_S * 2.0**self.refusals, MAX_PAUSE_S)
        self.refusals = min(self.refusals + 1, MAX_COUNTED_REFUSALS)
        self.refused_at = now
        self.paused_until = now + pause_s

    def record_contact(self) -> None:
        """Record an answer, which ends the pause after refused connections."""
        self.refusals = 0
        self.paused_until = 0.0
        self.record_activity()

    def record_silence(self, since: float, now: float) -> None:
        """
        Record that the target has sent nothing since a time; it may still go on.

        A silence that follows another one soon, without an answer between, goes on with it.
        """
        if since > self.silent_until + SILENCE_PAUSE_S:
            self.silent_since = since
        self.silent_until = now + SILENCE_PAUSE_S

    def record_activity(self) -> None:
        """Record that the target goes on after a silence."""
        self.silent_since = float("inf")
        self.silent_until = float("-inf")

    def is_paused(self, now: float) -> bool:
        """Whether the target is silent, or has refused connections, at the moment."""
        return now < self.paused_until or now < self.silent_until

    def record_report(self, measured_at: float) -> None:
        """End the pause of a target whose load report is newer than its refusal."""
        if measured_at > self.refused_at:
            self.paused_until = 0.0

    def record_failure(self, wrong_answer: bool) -> bool:
        """Record a failure; return whether the target should be ejected."""
        self.consecutive_failures += MAX_CONSECUTIVE_FAILURES if wrong_answer else 1
        self.observations += 1
        self.failure_ratio = self.failure_ratio * FAILURE_DECAY + (1 - FAILURE_DECAY)
        if self.on_probation or self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        fails_often = self.failure_ratio >= MAX_FAILURE_RATIO
        return fails_often and self.observations >= MIN_OBSERVATIONS

    def eject(self, now: float) -> None:
        """Eject the target for a time that doubles with each repetition."""
        if now - self.last_ejected_at > EJECTION_RESET_S + MAX_EJECTION_S:
            self.ejections = 0
        duration = min(FIRST_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections += 1
        self.last_ejected_at = now
        self.ejected_until = now + duration
        self.consecutive_failures = 0
        self.on_probation = True

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected at this time."""
        return now < self.ejected_until


def may_eject(ejected: int, total: int) -> bool:
    """
    Return whether one more of ``total`` equivalent targets may be ejected.

    At most half of them are ejected at the same time, and at least one is not:
    if most targets fail, the fault is more likely at the observer or common to
    all, and distributing requests is better than refusing them.
    """
    return ejected + 1 <= total * MAX_EJECTED_SHARE
