"""What this host learns of values, of news and of other regions."""

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

OFFER_AGAIN_S = 0.5
MAX_NAMES = 64


def learn_value(state: NodeState, value: ValueDigest, source: str, now: float) -> None:
    """Take a peer's word that it holds ``value``."""
    held = state.values.get(value.name)
    if held is not None and value.revision == held.revision:
        if value.digest != held.digest:
            state.counters["value_conflicts"] += 1
            state.emit(ValueConflict(held, value, source))
        return
    if held is not None and value.revision < held.revision:
        return
    revision, at = state.offered.get(value.name, (0, 0.0))
    if revision > value.revision:
        return
    if revision == value.revision and now - at < OFFER_AGAIN_S:
        return
    if value.name not in state.offered and len(state.offered) >= MAX_NAMES:
        return
    state.offered[value.name] = (value.revision, now)
    state.emit(ValueAnnounced(value, source, state.callers_address_of(source)))


def learn_news(state: NodeState, news: GossipUpdate, source: str, now: float) -> None:
    """Take an item that a peer sent."""
    held = state.news.put(news, source, now)
    if held is None:
        return
    state.emit(UpdateReceived(held))
    if POLICIES[news.kind].reach is not Reach.DIRECTED:
        state.dissemination.tell_news(held)


def learn_summary(state: NodeState, summary: RegionSummary, now: float) -> None:
    """Take what is said of a region; of the own one, just whom to ask."""
    if summary.region == state.own.region:
        state.hinted = summary.contacts
        return
    known = state.regions.get(summary.region)
    held = state.regions.put(summary, now)
    if held is None:
        return
    changed = known is None or _differs(known.summary, summary)
    if changed:
        state.emit(RegionChanged(summary))
    refresh_s = state.options.summary_refresh_s
    if state.regions.must_tell(summary.region, changed, refresh_s, now):
        state.dissemination.tell_summary(held)


def _differs(known: RegionSummary, summary: RegionSummary) -> bool:
    return replace(known, age_ms=0) != replace(summary, age_ms=0)
