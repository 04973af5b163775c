"""What the membership core asks its host to do or tells it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..gossip.updates import HeldUpdate
    from ..gossip.values import ValueDigest
    from .messages import Message, RegionSummary
    from .model import Member, State


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send ``message`` to ``address`` (``IP:port``); losing it does no harm."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member of the own region is new or believed otherwise than before."""

    member: Member
    previous: State | None


@dataclass(frozen=True, slots=True)
class RegionChanged:
    """Another region's summary says something new."""

    summary: RegionSummary


@dataclass(frozen=True, slots=True)
class ValueAnnounced:
    """
    A peer holds a higher revision of a value than this host.

    Fetch the content from ``callers_address``, check it against the digest,
    then call ``Membership.set_value``.
    """

    value: ValueDigest
    source: str
    callers_address: str


@dataclass(frozen=True, slots=True)
class ValueConflict:
    """A peer holds other content under the revision that is held here."""

    held: ValueDigest
    other: ValueDigest
    source: str


@dataclass(frozen=True, slots=True)
class UpdateReceived:
    """A piece of news is new to this host or newer than what it held."""

    update: HeldUpdate


@dataclass(frozen=True, slots=True)
class Joined:
    """
    The host has heard its peers, or waited long enough for them.

    ``incarnation`` is final from here on; issue nothing that names it
    before. ``answered`` is false when no peer answered.
    """

    incarnation: int
    answered: bool


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this host runs; this process has to stop."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """The process did not run for ``seconds``; its view may be old."""

    seconds: float


Action = (
    SendMessage
    | MemberChanged
    | RegionChanged
    | ValueAnnounced
    | ValueConflict
    | UpdateReceived
    | Joined
    | Superseded
    | PauseDetected
)
