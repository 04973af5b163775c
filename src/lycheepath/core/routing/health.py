"""
Whether a target that still accepts connections can be trusted with work.

Judged by what its requests meet (passive outlier detection): failures in a
row, the share of failures, and wrong answers. A suspect is ejected for a time
that doubles with each ejection in short order and is then probed by single
requests. The floor on what may be ejected together is kept by the caller, who
knows the other targets; see ``may_eject``.
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


@dataclass(slots=True)
class TargetHealth:
    """State: what the requests of one target have met."""

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

    def record_success(self) -> None:
        """Count a whole answer; it ends the probation of an ejected target."""
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
        Count a connection that could not be made.

        It pauses the target for a time that doubles with each refusal in a
        row. No floor is needed: a paused target is still used where no other
        is left.
        """
        pause_s = min(FIRST_PAUSE_S * 2.0**self.refusals, MAX_PAUSE_S)
        self.refusals = min(self.refusals + 1, MAX_COUNTED_REFUSALS)
        self.refused_at = now
        self.paused_until = now + pause_s

    def record_contact(self) -> None:
        """End what refused connections began: the target has answered."""
        self.refusals = 0
        self.paused_until = 0.0

    def record_report(self, measured_at: float) -> None:
        """End the pause of a target that has reported since it refused."""
        if measured_at > self.refused_at:
            self.paused_until = 0.0

    def record_failure(self, wrong_answer: bool) -> bool:
        """Count a failure; return whether the target should be ejected."""
        self.consecutive_failures += MAX_CONSECUTIVE_FAILURES if wrong_answer else 1
        self.observations += 1
        self.failure_ratio = self.failure_ratio * FAILURE_DECAY + (1 - FAILURE_DECAY)
        if self.on_probation or self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        often = self.failure_ratio >= MAX_FAILURE_RATIO
        return often and self.observations >= MIN_OBSERVATIONS

    def eject(self, now: float) -> None:
        """Take the target out for a time that doubles with each repetition."""
        if now - self.last_ejected_at > EJECTION_RESET_S + MAX_EJECTION_S:
            self.ejections = 0
        duration = min(FIRST_EJECTION_S * 2**self.ejections, MAX_EJECTION_S)
        self.ejections += 1
        self.last_ejected_at = now
        self.ejected_until = now + duration
        self.consecutive_failures = 0
        self.on_probation = True

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is out at this time."""
        return now < self.ejected_until


def may_eject(ejected: int, total: int) -> bool:
    """
    Tell whether one more of ``total`` like targets may be ejected.

    Half of them at most are out at once, and one always stays: when most
    look sick, the fault is more likely in the observer or shared by all, and
    spreading work beats refusing it.
    """
    return ejected + 1 <= total * MAX_EJECTED_SHARE
