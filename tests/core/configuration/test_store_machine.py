from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheepath.core.configuration.outcomes import HeldValue, Offer
from lycheepath.core.configuration.store import ConfigurationStore
from lycheepath.core.configuration.values import build_readers

if TYPE_CHECKING:
    import pytest

SEED = 20261203
EXAMPLES = 150 * int(os.environ.get("LYCHEEPATH_LONG_RUN", "1"))
STEPS = 40
HOSTS = 4
NAME = "environment/trial"
TRIAL = json.loads(
    (Path(__file__).parents[3] / "environments" / "trial.json").read_text("utf-8")
)

steps_taken = 0


@dataclass
class SimulatedHost:
    """A host process: its store and the highest revision that it had in force."""

    store: ConfigurationStore = field(
        default_factory=lambda: ConfigurationStore(build_readers("trial"))
    )
    highest: int = 0


class ConfigurationMachine(RuleBasedStateMachine):
    """
    Hosts that read values from a platform that may be stale, and from peers.

    Operators may publish one revision twice with different content, and may
    publish invalid documents.
    """

    def __init__(self) -> None:
        super().__init__()
        self.published: list[tuple[int, bytes]] = []
        self.valid: dict[int, set[float]] = {}
        self.hosts = [SimulatedHost() for _ in range(HOSTS)]
        self.now = 0.0

    @initialize(drain_s=st.integers(1, 3))
    def publish_first(self, drain_s: int) -> None:
        self.publish(1, drain_s, good=True)

    @rule(step=st.integers(-1, 3), drain_s=st.integers(1, 3), good=st.booleans())
    def publish(self, step: int, drain_s: int, good: bool) -> None:
        last = max((revision for revision, _ in self.published), default=1)
        revision = max(1, last + step)
        drain = drain_s if good else -drain_s
        members = {"revision": revision, "drain_s": drain}
        self.published.append((revision, json.dumps(TRIAL | members).encode()))
        if good:
            self.valid.setdefault(revision, set()).add(float(drain_s))

    @rule(hosts=st.permutations(range(HOSTS)))
    def race(self, hosts: list[int]) -> None:
        """Two operators publish the next revision; hosts read either of them."""
        self.publish(1, 1, good=True)
        self.read_platform(hosts[0], 0)
        self.publish(0, 2, good=True)
        self.read_platform(hosts[1], 0)

    @rule(host=st.integers(0, HOSTS - 1), age=st.integers(0, 5))
    def read_platform(self, host: int, age: int) -> None:
        if self.published:
            revision, text = self.published[max(-len(self.published), -1 - age)]
            self._offer(host, Offer(revision, "", text, "platform"))

    @rule(host=st.integers(0, HOSTS - 1), peer=st.integers(0, HOSTS - 1))
    def fetch_from_peer(self, host: int, peer: int) -> None:
        held = self.hosts[peer].store.get(NAME)
        if held is not None:
            source = f"peer {peer}"
            self._offer(host, Offer(held.revision, held.digest, held.text, source))

    @rule(host=st.integers(0, HOSTS - 1), peer=st.integers(0, HOSTS - 1))
    def restart(self, host: int, peer: int) -> None:
        """Restart a host; the new process fetches from a peer before it serves."""
        self.hosts[host] = SimulatedHost()
        self.fetch_from_peer(host, peer)

    @rule(cut=st.integers(0, HOSTS - 1))
    def synchronize_all_but(self, cut: int) -> None:
        """Let all reachable hosts fetch from each other twice; they then agree."""
        reachable = [host for host in range(HOSTS) if host != cut]
        for _ in range(2):
            for host in reachable:
                for peer in reachable:
                    self.fetch_from_peer(host, peer)
        held = [self.hosts[host].store.get(NAME) for host in reachable]
        assert len({value.revision for value in held if value}) <= 1
        if any(held):
            assert all(held)
            self._check_agreement(reachable, [value for value in held if value])

    def _check_agreement(self, reachable: list[int], held: list[HeldValue]) -> None:
        """Check that different contents of one revision were reported as conflicts."""
        if len({value.digest for value in held}) > 1:
            for host in reachable:
                assert self.hosts[host].store.get_conflict(NAME) is not None

    def _offer(self, host: int, offer: Offer) -> None:
        global steps_taken
        steps_taken += 1
        self.now += 1
        simulated = self.hosts[host]
        simulated.store.offer(NAME, offer, self.now)
        held = simulated.store.get(NAME)
        if held is not None:
            assert held.revision >= simulated.highest
            simulated.highest = held.revision

    @invariant()
    def holds_only_valid_published_values(self) -> None:
        for host in self.hosts:
            held = host.store.get(NAME)
            if held is not None:
                drain_s = float(json.loads(held.text)["drain_s"])
                assert drain_s in self.valid[held.revision]


def test_configuration_never_reverts_and_converges(
    capsys: pytest.CaptureFixture[str],
) -> None:
    machine = seed(SEED)(ConfigurationMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
        ),
    )
    with capsys.disabled():
        print(f"\nconfiguration machine: seed {SEED}, {steps_taken} offers")
