"""
Binds streams to the software version that began them.

Each host records the streams that it forwards. While several versions of a service are
in use, it also reports them to two other hosts, which keep them in case it ends. A take-up
is bound by what this host or a peer has recorded, or else by the only version that
was in use while the stream may have begun, or whose targets hold its prompt; if there are
several, it is refused.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.origin_messages import (
    OriginQuery,
    OriginReply,
    OriginReport,
    encode_origin_message,
)
from ..core.catalog.versions import VersionHistory, infer_version
from ..core.hosts.rendezvous import rank
from ..core.reasons import Absent, Reason
from ..core.serving.origins import RESTART_NOTICE_S, Origin, StreamOrigins
from .held_prompts import HeldPrompts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..adapters.origin_messages import OriginMessage
    from ..core.catalog.catalog import StateChange
    from ..core.catalog.versions import PastTargets
    from ..core.fleet.view import HostRow
    from .exchange import Exchange
    from .node import GatewayNode

# Time in seconds before a take-up within which its stream may have begun, at least; longer
# where the route allows longer streams.
MIN_WINDOW_S = 20.0
# Time for which origins are kept after the last event that was recorded.
KEEP_S = 60.0
# Hosts that keep a stream's origin beside the one that forwards it.
KEEPERS = 2
# Hosts that are queried; in a larger fleet those that may keep the stream, and those of
# the region.
MAX_QUERIED = 64
# Time to wait for the answers of peers; a round trip between regions and a busy host.
QUERY_TIMEOUT_S = 0.4
# The same if targets have to be asked first.
LISTING_TIMEOUT_S = 0.8
# Time to wait for a reading of the store if no peer's reply shows what is in use.
CONFIRM_TIMEOUT_S = 0.8
# Largest number of queries that wait for targets' lists.
MAX_LISTING = 256
# Time after the start of this host in which it may not know any peer yet.
DISCOVERY_S = 0.5
POLL_S = 0.05
# Time after which a reading of the store's past that has failed is repeated.
PAST_RETRY_S = 1.0
# Largest number of streams in one report.
MAX_REPORTED = 64
# Time after which a caller whose stream can't go on may start anew.
REFUSED_RETRY_S = 1.0


@dataclass(slots=True)
class _PendingQuery:
    """A query that waits for the replies of peers."""

    waiting: set[str]
    replies: list[OriginReply] = field(default_factory=list)
    done: trio.Event = field(default_factory=trio.Event)


class StreamVersions:
    """State: the origins of streams, the versions in use, and pending queries."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.origins = StreamOrigins()
        self.history = VersionHistory()
        self._pending: dict[int, _PendingQuery] = {}
        self._past: PastTargets | None = None
        self._past_read_at = float("-inf")
        self._past_lock = trio.Lock()
        self._reports_due: set[str] = set()
        self._broke_at: dict[str, float] = {}
        self._held = HeldPrompts(node)
        self._listing_in, self._listing_out = trio.open_memory_channel[OriginQuery](
            MAX_LISTING
        )

    async def bind(self, exchange: Exchange) -> Absent | None:
        """Bind a request that takes up a stream; return why it can't go on, or None."""
        head = exchange.request_head
        if not head.takes_up:
            return None
        node = self._node
        asked_at = node.now()
        origin, source = await self._find_origin(exchange)
        exchange.lookup_s = node.now() - asked_at
        node.metrics.count("take_ups_total", source=source)
        record_event(
            "take-up",
            request=head.id,
            resumes=head.resumes,
            route=exchange.route.name,
            last_event=head.last_event_id,
            left_s=head.deadline_s,
            part=exchange.own_part,
            version_bound=origin and origin.version,
            source=source,
            versions=sorted(self._list_used(exchange)),
        )
        if origin is None:
            used = ", ".join(sorted(self._list_used(exchange)))
            detail = f"the version that began the stream isn't known (in use: {used})"
            return Absent(Reason.NO_TARGET, REFUSED_RETRY_S, detail)
        if origin.service in exchange.route.service_names:
            exchange.service = origin.service
            exchange.version = origin.version
            self.origins.record(exchange.stream, origin, node.now())
        return None

    def find_bound_version(self, exchange: Exchange) -> str | None:
        """Return the version at which an answer has to go on; None if any will do."""
        if exchange.version is None:
            return None
        origin = self.origins.find(exchange.stream)
        return exchange.version if origin is None else origin.version

    def needs_version(self, exchange: Exchange) -> bool:
        """Whether a request has to go to one of several versions that are in use."""
        return exchange.version is not None and len(self._list_used(exchange)) > 1

    async def record_begun(self, exchange: Exchange, target: str, version: str) -> None:
        """Record the first event of a stream, and what began it."""
        node = self._node
        exchange.version = version
        if not version or not exchange.route.repeatable:
            return
        origin = Origin(exchange.service, version, target)
        self.origins.record(exchange.stream, origin, node.now())
        if exchange.relayed or len(self._list_used(exchange)) < 2:
            return
        await self._report(((exchange.stream, origin, 0.0),))

    def record_break(self, target: str) -> None:
        """Record that a target broke a connection: it may have restarted."""
        self._broke_at[target] = self._node.now()

    def update(self, changes: Iterable[StateChange]) -> None:
        """Apply a change of the catalog."""
        node = self._node
        now = node.now()
        for change in changes:
            if change.event == "target-restarted":
                since = self._broke_at.pop(change.subject, now - RESTART_NOTICE_S)
                count = self.origins.discard_restarted(change.subject, since)
                if count:
                    record_event(
                        "origins-discarded", subject=change.subject, streams=count
                    )
        changed = self.history.update(node.catalog.targets.values(), now)
        for service in changed:
            if len(self.history.list_used(service, now - MIN_WINDOW_S)) > 1:
                self._reports_due.add(service)

    async def run_due(self, now: float) -> None:
        """Report the streams of services that have got a second version; expire."""
        due, self._reports_due = self._reports_due, set()
        for service in due:
            since = now - MIN_WINDOW_S
            recent = self.origins.list_of_service(service, since)
            streams = [(stream, origin, now - at) for stream, origin, at in recent]
            for first in range(0, len(streams), MAX_REPORTED):
                await self._report(streams[first : first + MAX_REPORTED])
        self._broke_at = {
            target: at
            for target, at in self._broke_at.items()
            if now - at <= RESTART_NOTICE_S
        }
        self.origins.expire(now - KEEP_S)
        self.history.expire(now - KEEP_S)

    async def handle_message(self, message: OriginMessage) -> None:
        """Answer a query, or apply a reply or a report."""
        node = self._node
        now = node.now()
        if isinstance(message, OriginReport):
            for stream, origin, age_s in message.streams:
                self.origins.record(stream, origin, now - age_s)
        elif isinstance(message, OriginQuery):
            if not message.part:
                await self._answer(message)
                return
            try:
                self._listing_in.send_nowait(message)
            except trio.WouldBlock:
                node.metrics.count("origin_queries_dropped_total")
        else:
            pending = self._pending.get(message.number)
            if pending is None:
                return
            pending.replies.append(message)
            pending.waiting.discard(message.host)
            told = message.origin is not None and bool(message.origin.version)
            if told or not pending.waiting:
                pending.done.set()

    async def run(self) -> None:
        """Answer the queries that need lists of targets, until cancelled."""
        async for query in self._listing_out:
            holding = await self._held.find_versions(query.service, query.part)
            await self._answer(query, tuple(sorted(holding)))

    async def _answer(self, query: OriginQuery, holding: tuple[str, ...] = ()) -> None:
        node = self._node
        since = node.now() - query.window_s
        versions = None
        if self.history.is_complete(since) and node.store.is_current(node.now()):
            versions = tuple(sorted(self.history.list_used(query.service, since)))
        known = self.origins.find(query.stream)
        host = node.settings.host
        reply = OriginReply(query.number, host, known, versions, holding)
        await node.peers.send_to_any(query.host, encode_origin_message(reply))

    async def _find_origin(self, exchange: Exchange) -> tuple[Origin | None, str]:
        """Return what began a stream that is taken up, and how that is known."""
        known = self.origins.find(exchange.stream)
        if known is not None and known.version:
            return known, "own"
        window_s = _find_window_s(exchange)
        replies = await self._query(exchange, window_s)
        origins = (reply.origin for reply in replies)
        told = next((each for each in origins if each and each.version), None)
        if told is not None:
            return told, "peer"
        if not await self._is_in_step(replies):
            return None, "out-of-step"
        inferred = await self._infer_origin(exchange.service, window_s, replies)
        if inferred is not None:
            return inferred
        return await self._find_holding(exchange, window_s)

    async def _is_in_step(self, replies: list[OriginReply]) -> bool:
        """
        Whether no other host can have begun the stream on a version unknown here.

        What this host hasn't heard shows nothing by itself: it may be cut off, or may
        just have stood still. The replies of all other hosts show it, or one of a host
        whose knowledge is complete, or a reading of the store that begins now.
        """
        node = self._node
        if any(reply.versions is not None for reply in replies):
            return True
        if len(replies) >= node.count_hosts() - 1:
            return True
        return await node.store.confirm_current(CONFIRM_TIMEOUT_S)

    async def _infer_origin(
        self, service: str, window_s: float, replies: Iterable[OriginReply]
    ) -> tuple[Origin, str] | None:
        """Return the only version that can have begun a stream, if there is one."""
        since = self._node.now() - window_s
        used = [r.versions for r in replies if r.versions is not None]
        if self.history.is_complete(since):
            used.append(tuple(self.history.list_used(service, since)))
        if used:
            only = _pick_only(service, itertools.chain(*used))
            return None if only is None else (only, "only-version")
        past = await self._read_past()
        if past is None:
            return None
        entries = self._node.catalog.targets.values()
        version = infer_version(service, entries, past, window_s, time.time())
        return None if version is None else (Origin(service, version, ""), "store-past")

    async def _find_holding(
        self, exchange: Exchange, window_s: float
    ) -> tuple[Origin | None, str]:
        """Return the version whose targets alone hold the prompt of a stream."""
        part = exchange.own_part
        if not part:
            return None, "unknown"
        replies = await self._query(exchange, window_s, part)
        versions = set(await self._held.find_versions(exchange.service, part))
        for reply in replies:
            versions.update(reply.holding)
        only = _pick_only(exchange.service, versions)
        return only, "held-prompt" if only else "unknown"

    async def _query(
        self, exchange: Exchange, window_s: float, part: str = ""
    ) -> list[OriginReply]:
        """Ask peers what began a stream; return their replies."""
        node = self._node
        hosts = await self._pick_queried(exchange.stream)
        number = node.next_number()
        pending = _PendingQuery({row.id for row in hosts})
        query = OriginQuery(
            number,
            node.settings.host,
            exchange.stream,
            exchange.service,
            window_s,
            part,
        )
        self._pending[number] = pending
        try:
            for row in hosts:
                await node.peers.send_to_row(row, encode_origin_message(query))
            if hosts:
                with trio.move_on_after(LISTING_TIMEOUT_S if part else QUERY_TIMEOUT_S):
                    await pending.done.wait()
        finally:
            del self._pending[number]
        return pending.replies

    async def _pick_queried(self, stream: str) -> list[HostRow]:
        node = self._node
        hosts = node.peers.view.live_hosts(node.now())
        while not hosts and node.now() - node.started_at < DISCOVERY_S:
            await trio.sleep(POLL_S)
            hosts = node.peers.view.live_hosts(node.now())
        if len(hosts) <= MAX_QUERIED:
            return hosts
        keepers = set(self._rank_keepers(stream, hosts)[: KEEPERS + 1])
        region = node.settings.region
        return [row for row in hosts if row.id in keepers or row.region == region]

    async def _report(self, streams: Iterable[tuple[str, Origin, float]]) -> None:
        """Tell the hosts that keep some streams what began them."""
        node = self._node
        hosts = node.peers.view.live_hosts(node.now())
        rows = {row.id: row for row in hosts}
        reports: dict[str, list[tuple[str, Origin, float]]] = {}
        for entry in streams:
            for keeper in self._rank_keepers(entry[0], hosts)[:KEEPERS]:
                reports.setdefault(keeper, []).append(entry)
        for keeper, entries in reports.items():
            data = encode_origin_message(OriginReport(tuple(entries)))
            await node.peers.send_to_row(rows[keeper], data)

    def _rank_keepers(self, stream: str, hosts: Iterable[HostRow]) -> tuple[str, ...]:
        return rank(stream, [row.id for row in hosts])

    async def _read_past(self) -> PastTargets | None:
        """Return what the store's past shows, read once after the start."""
        async with self._past_lock:
            now = self._node.now()
            if self._past is None and now - self._past_read_at >= PAST_RETRY_S:
                self._past = await self._node.store.read_past()
                self._past_read_at = self._node.now()
            return self._past

    def _list_used(self, exchange: Exchange) -> frozenset[str]:
        since = self._node.now() - _find_window_s(exchange)
        return self.history.list_used(exchange.service, since)


def _pick_only(service: str, versions: Iterable[str]) -> Origin | None:
    """Return the origin of a service's streams if it had one known version."""
    known = set(versions)
    if len(known) != 1 or "" in known:
        return None
    return Origin(service, known.pop(), "")


def _find_window_s(exchange: Exchange) -> float:
    """Return how long ago a stream that is taken up may have begun, in seconds."""
    return max(MIN_WINDOW_S, exchange.route.timeout_s)
