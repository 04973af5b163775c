"""
A randomised run of the membership core with its invariants.

The invariants that hold at every step are asserted inside the core as well;
here they are checked from outside, so that a removed assertion is noticed.
"""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.membership.network import Network, fetch_values, make_hosts
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.model import Member, State, supersedes

if TYPE_CHECKING:
    from lycheepath.core.membership.node import Membership

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
HOSTS = 7
CONVERGE_S = 120.0
EXAMPLES = int(os.environ.get("MEMBERSHIP_EXAMPLES", "12"))
STEPS = int(os.environ.get("MEMBERSHIP_STEPS", "25"))
NAME = "environment/x"
host_numbers = st.integers(0, HOSTS - 1)


class MembershipMachine(RuleBasedStateMachine):
    """Starts, kills, pauses, cuts, replays and publishes at random."""

    @initialize(seed=st.integers(0, 2**32))
    def start_all(self, seed: int) -> None:
        self.network = Network(make_hosts(HOSTS, ZONES), Random(seed))
        self.network.encodes = False
        self.ids = sorted(self.network.hosts)
        self.incarnation = 1000
        self.paused: dict[str, Membership] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.published = ValueDigest(NAME, 0, b"0" * 16)
        self.revisions: dict[tuple[str, int], int] = {}
        self.ended: set[tuple[str, str, int]] = set()
        self.dead: dict[tuple[str, str], Member] = {}
        self.network.passes = lambda source, target: (source, target) not in self.cuts
        for host_id in self.ids:
            self._start(host_id)

    @rule(seconds=st.floats(0.1, 20.0))
    def pass_time(self, seconds: float) -> None:
        self.network.run(seconds)
        fetch_values(self.network, self.published)

    @rule(number=host_numbers)
    def kill(self, number: int) -> None:
        self.network.kill(self.ids[number])

    @rule(number=host_numbers)
    def restart(self, number: int) -> None:
        self.paused.pop(self.ids[number], None)
        self._start(self.ids[number])

    @rule(number=host_numbers)
    def pause(self, number: int) -> None:
        node = self.network.nodes.pop(self.ids[number], None)
        if node is not None:
            self.paused[self.ids[number]] = node

    @rule(number=host_numbers)
    def resume(self, number: int) -> None:
        node = self.paused.pop(self.ids[number], None)
        if node is not None and self.ids[number] not in self.network.nodes:
            self.network.resume(self.ids[number], node)

    @rule(sender=host_numbers, receiver=host_numbers)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        self.cuts.add((self.ids[sender], self.ids[receiver]))

    @rule(size=st.integers(1, HOSTS - 1))
    def cut_in_parts(self, size: int) -> None:
        part, rest = self.ids[:size], self.ids[size:]
        self.cuts.update((one, other) for one in part for other in rest)
        self.cuts.update((other, one) for one in part for other in rest)

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @rule(loss=st.sampled_from([0.0, 0.05, 0.2]))
    def lose_messages(self, loss: float) -> None:
        self.network.loss = loss

    @rule(number=host_numbers)
    def leave(self, number: int) -> None:
        node = self.network.nodes.get(self.ids[number])
        if node is not None:
            self.network.carry_out(
                self.ids[number], node.start_draining(self.network.now)
            )

    @rule(number=host_numbers)
    def publish(self, number: int) -> None:
        node = self.network.nodes.get(self.ids[number])
        if node is None:
            return
        revision = self.published.revision + 1
        self.published = ValueDigest(NAME, revision, revision.to_bytes(16, "big"))
        self.network.carry_out(
            self.ids[number], node.set_value(self.published, self.network.now)
        )

    @invariant()
    def revisions_do_not_fall(self) -> None:
        for node in self.network.nodes.values():
            key = (node.local_member.id, id(node))
            for value in node.values():
                assert value.revision >= self.revisions.get(key, 0)
                self.revisions[key] = value.revision

    @invariant()
    def dead_incarnations_stay_dead(self) -> None:
        for host_id, node in self.network.nodes.items():
            for member in node.members():
                self._check_member(f"{host_id}/{id(node)}", member)

    def _check_member(self, viewer: str, member: Member) -> None:
        if member.state is State.ENDED:
            self.ended.add((viewer, member.id, member.incarnation))
        else:
            assert (viewer, member.id, member.incarnation) not in self.ended
        dead = self.dead.get((viewer, member.id))
        if dead is not None and member.live:
            assert (member.incarnation, member.refutation) > (
                dead.incarnation,
                dead.refutation,
            )
        if member.state is State.DEAD:
            self.dead[viewer, member.id] = member

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.heal()
        self.network.loss = 0.0
        for number, host_id in enumerate(self.ids):
            self.resume(number)
            if host_id not in self.network.nodes:
                self._start(host_id)
        assert self.network.run(CONVERGE_S, self._converged), self._describe()

    def _converged(self) -> bool:
        if self.published.revision and not fetch_values(self.network, self.published):
            if not any(
                self.published in n.values() for n in self.network.nodes.values()
            ):
                self.publish(0)
            return False
        nodes = self.network.nodes.values()
        regions = {node.local_member.id: node.local_member.region for node in nodes}
        return all(
            {member.id for member in node.members() if member.live}
            == {
                host
                for host, region in regions.items()
                if region == node.local_member.region
            }
            for node in nodes
        )

    def _describe(self) -> str:
        return "; ".join(
            f"{host_id} sees {[(m.id, m.state.name) for m in node.members()]}"
            for host_id, node in self.network.nodes.items()
        )

    def _start(self, host_id: str) -> None:
        self.incarnation += 100_000
        self.network.start(host_id, self.incarnation)


def test_membership_keeps_its_invariants_and_converges() -> None:
    print(f"{EXAMPLES} examples of up to {STEPS} steps, derandomised seed")
    run_state_machine_as_test(
        MembershipMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_statements_in_any_order_leave_the_same_member() -> None:
    random = Random(5)
    statements = [
        Member("a-1", incarnation, refutation, state)
        for incarnation in (1, 2)
        for refutation in (0, 1, 2)
        for state in State
    ]
    results = set()
    for _ in range(200):
        random.shuffle(statements)
        results.add(_apply(statements))
    assert {(member.incarnation, member.state) for member in results} == {
        (2, State.ENDED)
    }


def _apply(statements: list[Member]) -> Member:
    held = statements[0]
    for member in statements[1:]:
        if supersedes(member, held):
            held = member
    return held
