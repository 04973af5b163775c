"""
The messages between hosts, as the core sees them.

A message is addressed to one host and signed as a whole by the adapter.
``sequence`` is unique within the sender's incarnation; an answer names the
sequence that it answers in ``echo``, which also proves that it is fresh.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..gossip.updates import GossipUpdate
    from ..gossip.values import ValueDigest
    from .model import Member


class Kind(Enum):
    """What a message asks for or answers."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    RELAYED_ACK = 4
    CHALLENGE = 5
    GOSSIP = 6
    SYNC_REQUEST = 7
    SYNC = 8
    SUMMARY = 9
    SUMMARY_ACK = 10
    NOT_ME = 11


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """
    What the hosts of one region tell the others about it.

    ``down`` and ``leaving`` name hosts, cut to a bounded number;
    ``contacts`` are peers' addresses to reach the region by. ``age_ms`` is
    the time since the summary was made.
    """

    region: str
    alive: int
    down: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    contacts: tuple[str, ...] = ()
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """
    One message; most fields are empty in most kinds.

    ``subject`` is the member that an indirect probe is about;
    ``view_hash`` and ``values_hash`` let the receiver see that its view
    differs; ``bucket_hashes`` say where; ``last`` ends a series of pages.
    """

    kind: Kind
    sender: str
    incarnation: int
    sequence: int
    region: str
    to: str = ""
    echo: int = 0
    cookie: int = 0
    subject: str = ""
    view_hash: int = 0
    values_hash: int = 0
    bucket_hashes: tuple[int, ...] = ()
    last: bool = False
    members: tuple[Member, ...] = ()
    values: tuple[ValueDigest, ...] = ()
    news: tuple[GossipUpdate, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()
