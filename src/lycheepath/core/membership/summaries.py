"""What a region's contacts tell the contacts of other regions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.updates import UpdateKind
from .messages import Kind, Message, RegionSummary
from .rendezvous import CONTACTS_PER_REGION, rank_hosts
from .spreading import age_news, age_summary

if TYPE_CHECKING:
    from .probes import Probe
    from .state import NodeState

OTHERS_IN_SUMMARY = 2
NEWS_IN_SUMMARY = 10


def own_summary(state: NodeState) -> RegionSummary:
    """Return what this host says of its own region."""
    limit = state.options.max_named_hosts
    members = list(state.table)
    gone = [member.id for member in members if not member.live]
    leaving = [member.id for member in members if member.live and member.leaving]
    contacts = (state.address_of(contact) for contact in list_contacts(state))
    return RegionSummary(
        region=state.own.region,
        alive=state.region_size,
        down=tuple(sorted(gone)[:limit]),
        leaving=tuple(sorted(leaving)[:limit]),
        contacts=tuple(contacts),
    )


def list_contacts(state: NodeState) -> tuple[str, ...]:
    """Return the live members that speak for the own region."""
    live = [member.id for member in state.table if member.live and not member.leaving]
    return rank_hosts(f"contact/{state.own.region}", live, CONTACTS_PER_REGION)


def some_summaries(
    state: NodeState, count: int, now: float
) -> tuple[RegionSummary, ...]:
    """Return the own summary and up to ``count`` of other regions."""
    held = list(state.regions.summaries())
    chosen = state.random.sample(held, min(count, len(held)))
    return (own_summary(state), *(age_summary(item, now) for item in chosen))


def compose_summary(state: NodeState, kind: Kind, to: str, now: float) -> Message:
    """Return what this host tells another region."""
    message = state.compose(kind, to, now)
    kinds = (UpdateKind.QUARANTINE, UpdateKind.REGION_LOAD)
    items = [held for kind in kinds for held in state.news.all(kind, now)]
    newest = sorted(items, key=lambda held: -held.observed_at)
    return replace(
        message,
        values=tuple(state.values),
        values_hash=state.values.hash,
        news=tuple(age_news(held, now) for held in newest[:NEWS_IN_SUMMARY]),
        summaries=some_summaries(state, OTHERS_IN_SUMMARY, now),
    )


def send_summary(state: NodeState, probe: Probe, now: float, cookie: int = 0) -> None:
    """Send the own region's summary to the contact that ``probe`` names."""
    message = compose_summary(state, Kind.SUMMARY, probe.member, now)
    state.probes.add(message.sequence, probe)
    state.send(probe.address, replace(message, cookie=cookie))
