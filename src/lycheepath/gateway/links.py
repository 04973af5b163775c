"""
Watches the links to the targets of the region, and probes those that have failed.

A host that is cut off from its targets relays its requests to peers meanwhile. It must
not take what it sees for the targets' doing: breaks of connections become evidence only
once some target has been heard from after them.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..adapters.loop_delay import HELD_UP_S
from ..core.addresses import parse_address
from ..core.placement.overdue import is_overdue
from ..core.placement.reachability import Reachability
from ..core.routing.health import TargetHealth
from ..platform.targets import MAX_REPORT_BYTES, REPORT_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.http1.upstream import Upstream
    from ..core.placement.registry import TargetState
    from .node import GatewayNode

# Largest number of targets that are probed at the same time.
MAX_PROBES = 2
# Pause after probes of which one has failed.
PROBE_PAUSE_S = 0.25
# Interval at which a doubt is looked at again until probes are due.
POLL_S = 0.02
# Timeouts for the connection of a probe, and for its answer, which needs no slot; a sound
# target may be silent for a while, and a busy one slow.
PROBE_CONNECT_S = 0.3
PROBE_ANSWER_S = 1.0
# Time without any answer from the region's targets after which an overdue request, and
# after which any request raises a doubt.
OVERDUE_SILENCE_S = 0.3
SILENCE_S = 1.0
# Time after which a break is recorded although no target was heard from since.
HOLD_S = 1.0


@dataclass(frozen=True, slots=True)
class _HeldEvidence:
    """What a broken connection shows, unless this host itself is cut off."""

    at: float
    record: Callable[[], None]
    features: tuple[str, ...]


class TargetLinks:
    """State: which targets are in reach, and evidence that is held back."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.reachability = Reachability(node.settings.region)
        self._held: list[_HeldEvidence] = []
        self._probes_due = trio.Event()
        self._settled = trio.Event()
        # Targets that have refused or ended a connection since they were last probed.
        self._refused: set[str] = set()

    def list_targets(self) -> list[TargetState]:
        """Return the targets of the region."""
        node = self._node
        region = node.settings.region
        return [t for t in node.registry.targets.values() if t.region == region]

    def is_serving(self, now: float) -> bool:
        """Whether this host can serve callers as well as others can."""
        view = self._node.peers.view
        region = self._node.settings.region
        others_serve = self.reachability.is_suspected and any(
            row.region != region for row in view.ready_hosts(now)
        )
        return self.reachability.is_serving(now, others_serve)

    def record_connect_error(self, target: TargetState, error: ConnectError) -> None:
        """Record that no connection to a target was established."""
        self._record_failure(target.entry.id, str(error), error.refused)

    def record_contact(self, target: TargetState) -> None:
        """Record that an answer has begun to come from a target."""
        self.reachability.record_contact(target.entry.id, self._node.now())
        if self._held or self.reachability.state_changes:
            self._apply_changes()

    def record_peer_answer(self, target: str) -> None:
        """Record that a peer has passed on an answer from a target of the region."""
        self.reachability.record_peer_answer(target)
        self._apply_changes()

    async def await_evidence(self, features: tuple[str, ...]) -> None:
        """Wait until it is known whether earlier requests with a feature broke targets."""
        with trio.move_on_after(HOLD_S):
            while any(
                not set(held.features).isdisjoint(features) for held in self._held
            ):
                await self._settled.wait()

    def record_break(
        self, record: Callable[[], None], features: tuple[str, ...] = ()
    ) -> None:
        """
        Have the break of a connection recorded if it is the target's doing.

        ``features`` are those of the request on that connection.
        """
        now = self._node.now()
        self._held.append(_HeldEvidence(now, record, features))
        self.reachability.record_doubt(now)
        self._probes_due.set()

    def update(self, now: float) -> None:
        """Apply changes of the catalog and look for silence; called periodically."""
        targets = self.list_targets()
        self.reachability.set_targets((t.entry.id for t in targets), now)
        self._refused.intersection_update(t.entry.id for t in targets)
        self._synchronize(targets)
        silent_since = self._find_silence(targets, now)
        if silent_since is not None:
            self.reachability.record_doubt(silent_since)
            self._probes_due.set()
        if self.reachability.needs_probes:
            self._probes_due.set()
        self._apply_changes()

    async def run(self) -> None:
        """Probe targets while any link is in doubt, until cancelled."""
        node = self._node
        while True:
            await self._probes_due.wait()
            self._synchronize(self.list_targets())
            if not self.reachability.needs_probes:
                self._apply_changes()
                self._probes_due = trio.Event()
                continue
            due = self.reachability.list_probes(node.now(), MAX_PROBES)
            results: list[bool] = []
            async with trio.open_nursery() as nursery:
                for name in due:
                    target = node.registry.targets.get(name)
                    if target is not None:
                        nursery.start_soon(self._probe, target, results)
            self._apply_changes()
            if not due:
                await trio.sleep(POLL_S)
            elif not all(results):
                await trio.sleep(PROBE_PAUSE_S)

    async def _probe(self, target: TargetState, results: list[bool]) -> None:
        """Ask a target for its report on a new connection."""
        node = self._node
        name = target.entry.id
        self.reachability.record_probe(name, node.now())
        node.metrics.count("link_probes_total")
        address = parse_address(target.entry.address)
        refused = accepts = False
        reason = ""
        report = b""
        try:
            upstream = await node.pool.open(address, PROBE_CONNECT_S)
            try:
                with trio.fail_after(PROBE_ANSWER_S):
                    status, _ = await upstream.request(
                        b"GET",
                        REPORT_PATH.encode(),
                        [(b"host", str(address).encode())],
                        b"",
                    )
                report = await _read_report(upstream) if status == 200 else b""
            finally:
                upstream.close()
        except ConnectError as error:
            reason, refused = str(error), error.refused
        except trio.TooSlowError:
            accepts = True
            reason = f"no answer within {PROBE_ANSWER_S:.3f} s"
        except BrokenAnswerError as error:
            reason, refused = str(error), error.connection_ended
        results.append(not reason)
        if reason:
            self._record_failure(name, reason, refused, accepts)
            return
        now = node.now()
        self._discard_silent(now)
        was_refused = name in self._refused
        self._refused.discard(name)
        await node.cold_checks.record_report(target, report, was_refused)
        self.reachability.record_probe_answer(name, now)
        node.invalidate_context()

    def _record_failure(
        self, target: str, reason: str, refused: bool, accepts: bool = False
    ) -> None:
        node = self._node
        now = node.now()
        if not refused and node.loop_delay.find_s(now) >= HELD_UP_S:
            # A time-out while this process was held up shows nothing of the target.
            return
        if refused:
            self._refused.add(target)
        self._synchronize(self.list_targets())
        was_suspected = self.reachability.is_suspected
        was_unreachable = self.reachability.is_unreachable(target)
        self.reachability.record_failure(target, reason, now, accepts)
        if self.reachability.is_suspected and not was_suspected:
            for each in self.list_targets():
                self._discard_idle(each)
        elif not was_unreachable and target in node.registry.targets:
            self._discard_idle(node.registry.targets[target])
        self._probes_due.set()
        self._apply_changes()

    def _synchronize(self, targets: list[TargetState]) -> None:
        """Apply what the registry knows of the answers of targets."""
        for target in targets:
            if target.last_contact_at > self.reachability.contact_at:
                self.reachability.record_contact(
                    target.entry.id, target.last_contact_at
                )

    def _find_silence(self, targets: list[TargetState], now: float) -> float | None:
        """Return since when requests wait without any answer, None if none does."""
        for target in targets:
            request = target.find_oldest_waiting()
            if request is None:
                continue
            since = max(request.sent_at, self.reachability.contact_at)
            silent_s = now - since
            if silent_s >= SILENCE_S or (
                silent_s >= OVERDUE_SILENCE_S
                and is_overdue(self._node.registry, target, now)
            ):
                return since
        return None

    def _discard_silent(self, now: float) -> None:
        """Discard idle connections to targets whose connections have fallen silent."""
        for target in self.list_targets():
            if self._find_silence([target], now) is not None:
                self._discard_idle(target)

    def _discard_idle(self, target: TargetState) -> None:
        count = self._node.pool.discard(parse_address(target.entry.address))
        if count:
            self._node.metrics.count("idle_connections_discarded_total", amount=count)

    def _apply_changes(self) -> None:
        """Settle held evidence, log changes, and place by them from now on."""
        node = self._node
        reachability = self.reachability
        for name in reachability.returned:
            target = node.registry.targets.get(name)
            if target is not None:
                # Its failures were those of the link.
                target.health = TargetHealth()
        reachability.returned.clear()
        self._settle_evidence(node.now())
        if reachability.state_changes:
            for change in reachability.state_changes:
                record_event(change.event, subject=change.subject, detail=change.detail)
            reachability.state_changes.clear()
            node.invalidate_context()

    def _settle_evidence(self, now: float) -> None:
        held, self._held = self._held, []
        for evidence in held:
            if self.reachability.was_broken_by_target(evidence.at):
                evidence.record()
            elif self.reachability.is_cut:
                self._node.metrics.count("breaks_of_links_total")
            elif now - evidence.at >= HOLD_S:
                evidence.record()
            else:
                self._held.append(evidence)
        if len(self._held) < len(held):
            self._settled.set()
            self._settled = trio.Event()


async def _read_report(upstream: Upstream) -> bytes:
    """Return the body of a report, empty if it doesn't come whole and in time."""
    with suppress(BrokenAnswerError), trio.move_on_after(PROBE_ANSWER_S):
        return await upstream.read_all(MAX_REPORT_BYTES)
    return b""
