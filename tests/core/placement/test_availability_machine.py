"""
Targets that drain, refuse requests and restart, besides the drain machine's rules.

A host must not send requests to a target that asked it not to: until another instance
has its id if the target is draining, or for the time that it named.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import seed, strategies as st
from hypothesis.stateful import rule

from lycheepath.core.reasons import Reason
from tests.core.placement.test_drain_machine import (
    MAX_TARGETS,
    DrainMachine,
    numbers,
)
from tests.core.randomised import run_machine

TALLY: Counter[str] = Counter()
# Digest of the machine's source as of commit 841d58b (then named ClosureMachine), so
# that rewording the source does not change the draws.
SOURCE_DIGEST = int(
    "26349076295968884137494716773824977349257269400913227792"
    "110804535311286827437675427501426879470216656795878677209018"
)


@seed(SOURCE_DIGEST)
class AvailabilityMachine(DrainMachine):
    """The same store, targets and host; targets also report state in answers."""

    def __init__(self) -> None:
        super().__init__()
        self.tally = TALLY

    @rule(number=numbers)
    def return_draining(self, number: int) -> None:
        """A target says in an answer that it is draining, whatever its entry says."""
        name = f"i-{number}"
        if name in self.registry.targets:
            self.registry.record_draining(name, self.now)
            self.declared_draining[name] = self.registry.targets[name].entry.born_ms
            self.tally["declared draining"] += 1

    @rule(number=numbers, seconds=st.sampled_from([0.0, 0.2, 1.0, 4.0, 300.0]))
    def return_busy(self, number: int, seconds: float) -> None:
        name = f"i-{number}"
        if name in self.registry.targets:
            self.registry.record_busy(name, seconds, self.now)
            start_ms = self.registry.targets[name].entry.born_ms
            until = max(self.busy.get((name, start_ms), 0.0), self.now + seconds)
            self.busy[name, start_ms] = until
            self.tally["refused requests"] += 1

    @rule(seconds=st.sampled_from([0.2, 4.0]))
    def return_all_busy(self, seconds: float) -> None:
        """All targets of the service refuse requests at once."""
        for number in range(MAX_TARGETS):
            self.return_busy(number, seconds)

    @rule(number=numbers)
    def restart_target(self, number: int) -> None:
        """A target restarts under its id; the new instance has refused nothing."""
        entry = self.written.get(f"i-{number}")
        if entry is not None and not self.store_down:
            start_ms = self.revision + 1
            self._write(replace(entry, sequence=1, born_ms=start_ms, draining=False))


def test_draining_and_busy_targets_get_no_requests() -> None:
    run_machine(AvailabilityMachine, TALLY)
    for sort in (
        "declared draining",
        "refused requests",
        Reason.TARGETS_BUSY.value,
        "sent",
    ):
        assert TALLY[sort], sort
