"""The summaries that contacts of regions exchange."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.updates import UpdateKind
from .dissemination import refresh_age, refresh_summary_age
from .messages import Kind, Message, RegionSummary
from .rendezvous import CONTACTS_PER_REGION, rank_hosts

if TYPE_CHECKING:
    from .probes import Probe
    from .state import NodeState

REMOTE_SUMMARIES = 2
UPDATES_IN_SUMMARY = 10


def summarize_local_region(state: NodeState) -> RegionSummary:
    """Return this host's summary of the local region."""
    limit = state.options.max_named_hosts
    members = list(state.table)
    down = [member.id for member in members if not member.live]
    leaving = [member.id for member in members if member.live and member.leaving]
    contacts = (state.address_of(contact) for contact in list_contacts(state))
    return RegionSummary(
        region=state.local_member.region,
        alive=state.region_size,
        down=tuple(sorted(down)[:limit]),
        leaving=tuple(sorted(leaving)[:limit]),
        contacts=tuple(contacts),
    )


def list_contacts(state: NodeState) -> tuple[str, ...]:
    """Return the contacts of the local region, from its live members."""
    live = [member.id for member in state.table if member.live and not member.leaving]
    return rank_hosts(f"contact/{state.local_member.region}", live, CONTACTS_PER_REGION)


def sample_summaries(
    state: NodeState, count: int, now: float
) -> tuple[RegionSummary, ...]:
    """Return the local summary and up to ``count`` of remote regions."""
    held = list(state.regions.summaries())
    chosen = state.random.sample(held, min(count, len(held)))
    return (
        summarize_local_region(state),
        *(refresh_summary_age(item, now) for item in chosen),
    )


def compose_summary(state: NodeState, kind: Kind, to: str, now: float) -> Message:
    """Return a message with the state to announce to a remote region."""
    message = state.compose(kind, to, now)
    kinds = (UpdateKind.QUARANTINE, UpdateKind.REGION_LOAD)
    items = [held for kind in kinds for held in state.updates.all(kind, now)]
    newest = sorted(items, key=lambda held: -held.observed_at)
    return replace(
        message,
        values=tuple(state.values),
        values_hash=state.values.hash,
        news=tuple(refresh_age(held, now) for held in newest[:UPDATES_IN_SUMMARY]),
        summaries=sample_summaries(state, REMOTE_SUMMARIES, now),
    )


def send_summary(state: NodeState, probe: Probe, now: float, cookie: int = 0) -> None:
    """Send the local region's summary to the contact in ``probe``."""
    message = compose_summary(state, Kind.SUMMARY, probe.member, now)
    state.probes.add(message.sequence, probe)
    state.send(probe.address, replace(message, cookie=cookie))
