"""Actions that the membership core returns to its host."""

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
    """Send ``message`` to ``address`` (``IP:port``); it may be lost."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member of the local region is new or its state has changed."""

    member: Member
    previous: State | None


@dataclass(frozen=True, slots=True)
class RegionChanged:
    """The summary of a remote region has changed."""

    summary: RegionSummary


@dataclass(frozen=True, slots=True)
class ValueAnnounced:
    """
    A peer announced a higher revision of a value than this host holds.

    Fetch the content from ``callers_address``, check it against the digest,
    then call ``Membership.set_value``.
    """

    value: ValueDigest
    source: str
    callers_address: str


@dataclass(frozen=True, slots=True)
class ValueConflict:
    """A peer holds different content under the revision that this host holds."""

    held: ValueDigest
    other: ValueDigest
    source: str


@dataclass(frozen=True, slots=True)
class UpdateReceived:
    """An update was received that is new or newer than the held one."""

    update: HeldUpdate


@dataclass(frozen=True, slots=True)
class Joined:
    """
    The host has synchronized with a peer, or the join timeout has passed.

    ``incarnation`` is final from here on; issue nothing that names it
    before. ``answered`` is false when no peer answered.
    """

    incarnation: int
    answered: bool


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this host is running; this process has to stop."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class PauseDetected:
    """The process was paused for ``seconds``; its view may be stale."""

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
