"""
What becomes of a configuration value that is offered to a host.

The outcomes are a closed set::

    match keeper.offer(name, offer, now):
        case Accepted(held=held): put_to_use(held.content)
        case Conflict() as conflict: raise_alarm(conflict)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from ..environment.findings import Finding, Findings


@dataclass(frozen=True, slots=True)
class Offer:
    """
    A value as somebody gave it to this host.

    ``digest`` is empty when the source does not say it, as the platform
    doesn't. ``source`` is ``platform`` or ``peer ID``.
    """

    revision: int
    digest: str
    text: bytes
    source: str


@dataclass(frozen=True, slots=True)
class HeldValue:
    """The value in force: its typed content and the text to pass on to peers."""

    revision: int
    digest: str
    text: bytes
    source: str
    since_s: float
    content: object


@dataclass(frozen=True, slots=True)
class Accepted:
    """
    The offer is in force now.

    ``warnings`` do not stop a value, but an operator should look at them.
    """

    held: HeldValue
    replaced: HeldValue | None
    warnings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class AlreadyInForce:
    """The offer is what is in force."""

    held: HeldValue


@dataclass(frozen=True, slots=True)
class Stale:
    """The offer is older than what is in force, and ignored."""

    offered_revision: int
    held: HeldValue


@dataclass(frozen=True, slots=True)
class Conflict:
    """
    The offer has the revision in force and other content: an alarm.

    What is in force stays until a higher revision is published.
    """

    held: HeldValue
    offered_digest: str
    source: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The offer is unsound; nothing changed."""

    offered_revision: int
    source: str
    findings: Findings


Outcome: TypeAlias = Accepted | AlreadyInForce | Stale | Conflict | Rejected
