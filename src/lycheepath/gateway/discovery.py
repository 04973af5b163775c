"""
Follows the platform's store: reads a snapshot once, then watches for changes.

Only a few hosts of a region read the store (see ``core/catalog/freshness``). The
others learn from the heartbeats of their peers that there are changes, and copy
them from the host that announced them. A new configuration is large, so each host
reads it from the store itself and requests it from a peer only if that fails, or if the
store has an older one. A refused, lost or late answer leaves the catalog unchanged.

A store that was restored from an older copy says so by a higher era in its answers. The
next reading is a snapshot then, which begins the new era (``core/catalog/restores``).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event, record_fault
from ..core.catalog.changes import Delta, Snapshot
from ..core.catalog.freshness import (
    OUTAGE_S,
    AvailableUpdate,
    CatalogStatus,
    Freshness,
    rank_reader,
)
from ..core.catalog.versions import PastTargets, collect_past
from ..platform.store import (
    HISTORY_GONE,
    SERVERS,
    StoreAnswerError,
    changes_path,
    configuration_path,
    page_path,
    read_changes,
    read_configuration_item,
    read_era,
    read_page,
)
from .calls import ANSWER_TIMEOUT_S, CallFailedError, fetch
from .copying import fetch_copy, omit_configuration_without_teams

if TYPE_CHECKING:
    from ..adapters.catalog_copies import CatalogCopy
    from ..core.catalog.catalog import StateChange
    from ..core.catalog.changes import Entry
    from ..core.fleet.view import HostRow
    from .calls import FetchedAnswer
    from .node import GatewayNode

# Longest time for which the store may delay the answer to a watch call until there
# is at least one change.
LONG_POLL_S = 0.5
# Time to wait for the answer to a watch call where the view has to be proven: a host
# whose store doesn't answer has to copy from its peers soon enough.
WATCH_TIMEOUT_S = 1.3
# Shortest pause between two calls, to the store or to a peer.
MIN_PAUSE_S = 0.05
# Revisions before the current one from which the store's past is first read, and the
# largest number of such readings.
FIRST_PAST_REVISIONS = 64
MAX_PAST_READS = 12
# Time for which a peer that gave no copy isn't asked for another one.
AVOID_PEER_S = 2.0
# Longest pause between two checks of what is due.
MAX_PAUSE_S = 0.25


class HistoryGoneError(Exception):
    """The store doesn't have the changes since the requested revision."""


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """What a peer announced that this host lacks; ``version`` is its configuration's."""

    sender: HostRow
    kind: AvailableUpdate
    version: int


class StoreFollower:
    """State: how current the catalog is, and which peer announced newer entries."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._freshness = Freshness(node.now())
        self._peer_update: PeerUpdate | None = None
        self._avoided_until: dict[str, float] = {}
        self._copy_failed = False
        self._wakeup = trio.Event()
        self._last_answer_at = node.now()
        self._store_failing = False
        self._needs_snapshot = True
        # Whether the last answer was of before the position of the catalog.
        self._answer_outdated = False
        # The highest era that the store has stated since the last snapshot.
        self._stated_era = 0
        self._era_unreadable = False
        # A reading is due that begins then or later.
        self._confirm_at = float("-inf")
        self._serving_hosts: set[str] = set()
        self._rank: int | None = None

    def catalog_status(self, now: float) -> CatalogStatus:
        """Return the configuration version, position and age of the catalog."""
        catalog = self._node.catalog
        age_s = self._freshness.age_s(now)
        revision = catalog.history.revision
        return CatalogStatus(catalog.version, revision, age_s, catalog.era)

    def apply_peer_status(
        self, sender: HostRow, peer_status: CatalogStatus, now: float
    ) -> None:
        """Compare the versions that a peer announced with those of this host."""
        catalog = self._node.catalog
        local_status = CatalogStatus(
            catalog.version, catalog.revision, 0.0, catalog.era
        )
        update_kind = self._freshness.apply_status(local_status, peer_status, now)
        if update_kind is AvailableUpdate.NONE:
            return
        # A configuration is read from the store, whoever announces it.
        is_configuration = update_kind is AvailableUpdate.CONFIGURATION
        if is_configuration or not (self._peer_update or self._is_avoided(sender, now)):
            self._peer_update = PeerUpdate(sender, update_kind, peer_status.version)
            self._wakeup.set()

    def is_current(self, now: float) -> bool:
        """Whether the catalog was complete lately, so that no entries have lapsed."""
        return self._freshness.age_s(now) <= OUTAGE_S

    async def confirm_current(self, timeout_s: float) -> bool:
        """Wait until the catalog has all changes up to now; return whether it has."""
        node = self._node
        since = self._confirm_at = node.now()
        self._wakeup.set()
        with trio.move_on_after(timeout_s):
            while self._freshness.current_at < since:
                await trio.sleep(MIN_PAUSE_S)
        return self._freshness.current_at >= since

    async def run(self) -> None:
        """Follow the store until cancelled."""
        node = self._node
        while True:
            update, self._peer_update = self._peer_update, None
            if (
                self._copy_failed or node.view_proofs.is_overdue
            ) and self._wait_s() <= 0.0:
                # Peers that give no copy don't put off the host's own reading.
                await self._read_store(0.0)
            elif update is not None and update.kind is AvailableUpdate.CHANGES:
                await self._copy_from_peer(update.sender, False)
            elif (
                update is not None
                and self._has_read
                and self._freshness.may_fetch_update(node.now())
            ):
                await self._read_configuration(update)
            elif self._confirm_due:
                await self._read_store(0.0)
            elif self._wait_s() <= 0.0:
                await self._read_store(LONG_POLL_S)
            if expired := node.catalog.expire(node.now()):
                apply_state_changes(node, expired, "time")
            await trio.sleep(MIN_PAUSE_S)
            await self._pause()

    @property
    def _has_read(self) -> bool:
        """Whether the store was read, though it may hold no usable configuration."""
        return self._node.catalog.routes is not None or not self._needs_snapshot

    @property
    def _confirm_due(self) -> bool:
        return self._freshness.read_at < self._confirm_at

    async def _pause(self) -> None:
        """Wait until a store read is due or a peer announces an update."""
        if self._peer_update is not None or self._confirm_due:
            return
        self._wakeup = trio.Event()
        pause_s = min(max(self._wait_s(), 0.0), MAX_PAUSE_S)
        with trio.move_on_after(pause_s):
            await self._wakeup.wait()

    def _wait_s(self) -> float:
        node = self._node
        now = node.now()
        local_host = node.peers.view.local_row
        hosts = {
            peer.id for peer in node.peers.view.ready_hosts(now, local_host.region)
        }
        if node.ready:
            hosts.add(local_host.id)
        if hosts != self._serving_hosts:
            self._serving_hosts = hosts
            self._rank = rank_reader(local_host.id, hosts, local_host.region)
        is_due = node.view_proofs.is_overdue
        return self._freshness.wait_s(self._rank, now, is_due)

    async def _read_store(self, long_poll_s: float) -> None:
        """Read the store; if that fails, copy the catalog from a peer."""
        node = self._node
        started_at = node.now()
        outage = not self.is_current(started_at)
        self._freshness.record_read(started_at)
        self._copy_failed = False
        try:
            self._answer_outdated = False
            changes = await self._read_changes(long_poll_s, outage)
            is_whole = changes is None
            if changes is None:
                changes = await self._replace_catalog(outage)
        except (CallFailedError, StoreAnswerError) as error:
            self._record_failure(str(error))
            peer = self._pick_peer()
            if peer is not None:
                await self._copy_from_peer(peer, node.catalog.routes is None)
            return
        self._record_answer()
        self._freshness.record_current_at(started_at)
        if not self._answer_outdated:
            node.view_proofs.record_reading(started_at, is_whole)
        apply_state_changes(node, changes, "store")

    async def _read_changes(
        self, long_poll_s: float, outage: bool
    ) -> list[StateChange] | None:
        """Apply the changes since the last reading; None if a snapshot is needed."""
        catalog = self._node.catalog
        view_proofs = self._node.view_proofs
        if (
            self._needs_snapshot
            or catalog.era < self._known_era
            or view_proofs.needs_snapshot
        ):
            return None
        position = catalog.position
        timeout_s = WATCH_TIMEOUT_S if view_proofs.is_needed else float("inf")
        path = changes_path(position.revision, long_poll_s)
        try:
            with trio.fail_after(timeout_s):
                body, era = await self._fetch(path)
        except trio.TooSlowError as error:
            raise CallFailedError("no answer in time") from error
        except HistoryGoneError:
            self._needs_snapshot = True
            record_event(
                "store-history-gone", revision=position.revision, era=position.era
            )
            return None
        if era != position.era:
            return None
        delta = read_changes(body, era)
        # The store may serve data of before the host's position; that proves nothing.
        self._answer_outdated = delta.revision < position.revision
        return catalog.apply(delta, self._node.now(), outage)

    async def _replace_catalog(self, outage: bool) -> list[StateChange]:
        """Replace the catalog by a snapshot of the store."""
        node = self._node
        before = node.catalog.position
        snapshot = await self._read_snapshot()
        if snapshot.position < before:
            # Without a higher era, this answer can't be told from a late one.
            raise StoreAnswerError(
                f"the snapshot is of revision {snapshot.revision} of era"
                f" {snapshot.era}, expected revision {before.revision} of era"
                f" {before.era} or later"
            )
        changes = node.catalog.replace(snapshot, node.now(), outage)
        self._needs_snapshot = False
        if snapshot.era > before.era and before.revision:
            node.metrics.count("store_restores_total")
            self._freshness.poll_eagerly(node.now())
        return changes

    async def _read_snapshot(self) -> Snapshot:
        entries: list[Entry] = []
        after = ""
        first: Snapshot | None = None
        while first is None or after:
            body, era = await self._fetch(page_path(after))
            page, after = read_page(body, era)
            entries.extend(page.entries)
            # Pages are not read atomically, so the changes since the first page are
            # read again with the next watch call.
            first = first or page
            if era != first.era:
                raise StoreAnswerError(
                    f"a page is of era {era}, the first one of era {first.era}"
                )
        return Snapshot(tuple(entries), first.revision, first.era)

    async def read_past(self) -> PastTargets | None:
        """
        Return what the store still knows of targets in the past; None if it fails.

        It looks for the earliest revision from which changes are known, as revisions
        don't tell times.
        """
        revision, known_era = self._node.catalog.revision, self._node.catalog.era
        found: PastTargets | None = None
        reached, gone, distance = 0, 0, FIRST_PAST_REVISIONS
        for _ in range(MAX_PAST_READS):
            after = max(0, revision - distance)
            try:
                body, era = await self._fetch(changes_path(after, 0.0, SERVERS))
                if era != known_era:
                    raise StoreAnswerError(
                        f"the answer is of era {era}, expected {known_era}"
                    )
                found = collect_past(read_changes(body).changes, after == 0)
                reached = distance
            except HistoryGoneError:
                gone = distance
            except (CallFailedError, StoreAnswerError) as error:
                record_fault("past-unread", reason=str(error))
                return found
            if after == 0 and reached == distance:
                break
            distance = (reached + gone) // 2 if gone else 4 * distance
            if distance <= reached or (gone and gone - reached <= reached // 8):
                break
        record_event(
            "past-read",
            revisions=reached,
            complete=found is not None and found.complete,
            entries=len(found.entries) if found else 0,
            unexplained=len(found.unexplained) if found else 0,
        )
        return found or PastTargets()

    async def _read_configuration(self, update: PeerUpdate) -> None:
        """Read the new configuration from the store, or else from the given peer."""
        node = self._node
        started_at = node.now()
        try:
            body, _ = await self._fetch(configuration_path())
            found = read_configuration_item(body)
        except StoreAnswerError as error:
            record_fault("configuration-unreadable", reason=str(error))
            await self._copy_from_peer(update.sender, True)
            return
        except CallFailedError as error:
            self._record_failure(str(error))
            await self._copy_from_peer(update.sender, True)
            return
        delta = Delta((found,), node.catalog.revision, node.catalog.era)
        changes = node.catalog.apply(delta, node.now(), False)
        if found.version == node.catalog.version:
            node.view_proofs.record_reading(started_at, True)
        apply_state_changes(node, changes, "store")
        if found.version < update.version:
            # A restored store may have lost the configuration that peers have.
            await self._copy_from_peer(update.sender, True)

    async def _copy_from_peer(self, peer: HostRow, with_configuration: bool) -> None:
        """Copy the entries that this host lacks from a peer, and apply them."""
        node = self._node
        started_at = node.now()
        outage = not self.is_current(started_at)
        try:
            copy = await fetch_copy(node, peer, with_configuration)
        except CallFailedError as error:
            now = node.now()
            self._copy_failed = True
            self._avoided_until = {
                host: until
                for host, until in self._avoided_until.items()
                if now < until
            }
            self._avoided_until[peer.id] = now + AVOID_PEER_S
            node.metrics.count("copies_failed_total")
            record_fault(
                "copy-failed",
                subject=peer.id,
                reason=str(error),
                catalog_age_s=round(self._freshness.age_s(now), 3),
            )
            return
        self._copy_failed = False
        if copy is not None:
            changes = self._apply_copy(copy, outage)
            if copy.content.era == node.catalog.era:
                self._freshness.record_current_at(started_at - copy.age_s)
            apply_state_changes(node, changes, peer.id)

    def _apply_copy(self, copy: CatalogCopy, outage: bool) -> list[StateChange]:
        node = self._node
        node.metrics.count("copies_total")
        node.view_proofs.record_copy(copy.known_version)
        content = copy.content
        if node.view_proofs.is_strict and copy.known_version is None:
            content = omit_configuration_without_teams(content)
        if not isinstance(content, Snapshot):
            return node.catalog.apply(content, node.now(), outage)
        changes = node.catalog.replace(content, node.now(), outage)
        if content.position == node.catalog.position:
            # The store can answer for the changes since the position of the copy.
            self._needs_snapshot = node.catalog.routes is None
        return changes

    def _is_avoided(self, peer: HostRow, now: float) -> bool:
        """Whether a peer gave no copy when it was last asked."""
        return now < self._avoided_until.get(peer.id, 0.0)

    def _pick_peer(self) -> HostRow | None:
        """Return a serving host, preferably of the local region."""
        node = self._node
        now = node.now()
        ready = node.peers.view.ready_hosts(now)
        peers = [peer for peer in ready if not self._is_avoided(peer, now)] or ready
        local = [peer for peer in peers if peer.region == node.settings.region]
        return node.random.choice(local or peers) if peers else None

    async def _fetch(self, path: str) -> tuple[bytes, int]:
        """Return an answer of the store and its era."""
        node = self._node
        node.metrics.count("store_calls_total")
        answer = await fetch(node, node.settings.store, path, ANSWER_TIMEOUT_S)
        era = self._check_era(answer)
        if answer.status == HISTORY_GONE:
            raise HistoryGoneError
        if answer.status != 200:
            raise CallFailedError(f"status {answer.status}")
        return answer.body, era

    @property
    def _known_era(self) -> int:
        return max(self._node.catalog.era, self._stated_era)

    def _check_era(self, answer: FetchedAnswer) -> int:
        """Return the era of an answer; raises CallFailedError for an earlier one."""
        node = self._node
        known = self._known_era
        try:
            era = read_era(answer.headers)
        except ValueError as error:
            era = None
            node.metrics.count("store_eras_unreadable_total")
            if not self._era_unreadable:
                self._era_unreadable = True
                record_fault("store-era-unreadable", reason=str(error))
        if era is None:
            return known
        # A stated era that later answers don't confirm is given up again.
        self._stated_era = era
        if era < known:
            raise CallFailedError(f"an answer is of era {era}, expected {known}")
        return era

    def _record_failure(self, reason: str) -> None:
        self._node.metrics.count("store_failures_total")
        if not self._store_failing:
            self._store_failing = True
            record_fault("store-lost", reason=reason)

    def _record_answer(self) -> None:
        node = self._node
        if self._store_failing:
            self._store_failing = False
            self._freshness.poll_eagerly(node.now())
            silent_s = round(node.now() - self._last_answer_at, 3)
            record_event("store-regained", silent_s=silent_s)
        self._last_answer_at = node.now()


def apply_state_changes(
    node: GatewayNode, changes: list[StateChange], source: str
) -> None:
    """
    Log the changes of the catalog and update what depends on it.

    ``source`` is "store", the id of the host that sent the changes, or "time" for
    entries that have expired.
    """
    for change in changes:
        record_event(
            change.event,
            subject=change.subject,
            detail=change.detail,
            source=source,
            revision=node.catalog.revision,
            era=node.catalog.era,
        )
    node.view_proofs.settle()
    node.versions.update(changes)
    node.registry.update(node.catalog, node.settings.zone_regions, node.now())
    node.cold_checks.apply_reports()
    if node.catalog.routes is not None:
        node.configured.set()
    if changes:
        node.wake_held_requests()
