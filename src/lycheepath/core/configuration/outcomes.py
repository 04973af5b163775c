"""
Outcomes of offering a configuration value to a host.

The outcomes are a closed set::

    match store.offer(name, offer, now):
        case Accepted(held=held): apply(held.content)
        case Conflict() as conflict: report(conflict)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from ..environment.findings import Finding, Findings


@dataclass(frozen=True, slots=True)
class Offer:
    """
    A value as a source offers it to this host.

    ``digest`` is empty if the source gives none; the platform never does.
    ``source`` is ``platform``, ``peer ID`` or ``seed ADDRESS``.
    """

    revision: int
    digest: str
    text: bytes
    source: str


@dataclass(frozen=True, slots=True)
class HeldValue:
    """The value in force: its typed content, and its text as peers fetch it."""

    revision: int
    digest: str
    text: bytes
    source: str
    since_s: float
    content: object


@dataclass(frozen=True, slots=True)
class Accepted:
    """
    The offered value is now in force.

    ``warnings`` do not prevent acceptance; an operator should review them.
    """

    held: HeldValue
    replaced: HeldValue | None
    warnings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class AlreadyInForce:
    """The offered value was already in force."""

    held: HeldValue


@dataclass(frozen=True, slots=True)
class Stale:
    """The offered revision is lower than the one in force; it is ignored."""

    offered_revision: int
    held: HeldValue


@dataclass(frozen=True, slots=True)
class Conflict:
    """
    The offer has the revision in force but different content.

    The value in force stays until a higher revision is published.
    """

    held: HeldValue
    offered_digest: str
    source: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The offered value is invalid; the value in force stays."""

    offered_revision: int
    source: str
    findings: Findings


Outcome: TypeAlias = Accepted | AlreadyInForce | Stale | Conflict | Rejected
