"""
The messages between hosts.

A message is addressed to one host and signed as a whole by the adapter.
``sequence`` is unique within the sender's incarnation. A response carries the
sequence of its request in ``echo``, which also proves that it is fresh.
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
    """What a message requests or responds to."""

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
    What the hosts of one region announce about it to other regions.

    ``alive`` counts the live hosts. ``down`` and ``leaving`` name unreachable and
    draining hosts, cut to a bounded number. ``contacts`` are addresses of hosts of the
    region that accept messages from other regions. ``age_ms`` is the time since the
    summary was made.
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

    ``subject`` is the target of an indirect probe. ``view_hash`` and ``values_hash``
    let the receiver detect that its view differs, and ``bucket_hashes`` in which parts.
    ``last`` marks the last one of a series of pages. ``news`` are gossip updates.
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
