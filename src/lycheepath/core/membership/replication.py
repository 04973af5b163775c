"""Applies values, updates and summaries of remote regions that peers sent."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.updates import POLICIES, Reach
from .actions import RegionChanged, UpdateReceived, ValueAnnounced, ValueConflict

if TYPE_CHECKING:
    from ..gossip.updates import GossipUpdate
    from ..gossip.values import ValueDigest
    from .messages import RegionSummary
    from .state import NodeState

REANNOUNCE_AFTER_S = 0.5
MAX_VALUE_NAMES = 64


def apply_value_digest(
    state: NodeState, value: ValueDigest, source: str, now: float
) -> None:
    """Apply a peer's announcement that it holds ``value``."""
    held = state.values.get(value.name)
    if held is not None and value.revision == held.revision:
        if value.digest != held.digest:
            state.counters["value_conflicts"] += 1
            state.emit(ValueConflict(held, value, source))
        return
    if held is not None and value.revision < held.revision:
        return
    revision, announced_at = state.announced_revisions.get(value.name, (0, 0.0))
    if revision > value.revision:
        return
    if revision == value.revision and now - announced_at < REANNOUNCE_AFTER_S:
        return
    if (
        value.name not in state.announced_revisions
        and len(state.announced_revisions) >= MAX_VALUE_NAMES
    ):
        return
    state.announced_revisions[value.name] = (value.revision, now)
    state.emit(ValueAnnounced(value, source, state.callers_address_of(source)))


def apply_update(
    state: NodeState, update: GossipUpdate, source: str, now: float
) -> None:
    """Store an update that a peer sent and forward it if it is new."""
    held = state.updates.put(update, source, now)
    if held is None:
        return
    state.emit(UpdateReceived(held))
    if POLICIES[update.kind].reach is not Reach.DIRECTED:
        state.dissemination.enqueue_update(held)


def apply_summary(state: NodeState, summary: RegionSummary, now: float) -> None:
    """Apply the summary of a region; of the local one, only its contacts."""
    if summary.region == state.local_member.region:
        state.hinted_contacts = summary.contacts
        return
    known = state.regions.get(summary.region)
    held = state.regions.put(summary, now)
    if held is None:
        return
    changed = known is None or _differs(known.summary, summary)
    if changed:
        state.emit(RegionChanged(summary))
    refresh_s = state.options.summary_refresh_s
    if state.regions.must_announce(summary.region, changed, refresh_s, now):
        state.dissemination.enqueue_summary(held)


def _differs(known: RegionSummary, summary: RegionSummary) -> bool:
    return replace(known, age_ms=0) != replace(summary, age_ms=0)
