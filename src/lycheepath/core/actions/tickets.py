"""
Tickets: keys for actions that a host creates and authenticates.

A ticket names the one process incarnation that may run the action. Its owner
keeps no record of it until it is used, since the text is signed and holds its
expiry on the owner's monotonic clock::

    text = encode_ticket(ticket, peer_keys[0])
    ticket = verify_ticket(text, peer_keys, team, service)
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .claims import Claim, KeyOrigin

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...host.settings import PeerKey

VERSION = "lp1"
MAX_TICKET_CHARS = 2048
_CONTEXT = b"lycheepath ticket 1\0"
_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Owner:
    """
    The process incarnation that alone may run a claim.

    ``address`` is the callers' address to which the process is bound;
    ``incarnation`` is unique for each start of a process.
    """

    host: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class Ticket:
    """
    A claim under a key that a host created, with its owner and its expiry.

    ``expires_at`` is in seconds on the owner's monotonic clock and has no
    meaning in any other process.
    """

    owner: Owner
    claim: Claim
    expires_at: float


def issue_ticket(
    owner: Owner, team: str, service: str, nonce: bytes, expires_at: float
) -> Ticket:
    """
    Create a ticket for an action without a caller's key.

    ``nonce`` must be unique and unguessable. A ticket that is valid for the
    service's resend window can be used for as long as a caller's key.
    """
    claim = Claim(team, service, nonce.hex(), KeyOrigin.TICKET)
    return Ticket(owner, claim, expires_at)


def encode_ticket(ticket: Ticket, key: PeerKey) -> str:
    """Encode a ticket as printable text, authenticated with ``key``."""
    payload = _join_fields(ticket, key.id)
    return f"{VERSION}.{_to_text(payload)}.{_to_text(_sign(payload, key.secret))}"


def verify_ticket(
    text: str, keys: Sequence[PeerKey], team: str, service: str
) -> Ticket | Absent:
    """
    Decode a ticket and check that a host issued it for this team and service.

    Returns ``TICKET_FORGED`` for text that is not signed with one of ``keys``,
    or that was issued for another team or service.
    """
    parts = text.split(".")
    if len(text) > MAX_TICKET_CHARS or len(parts) != 3 or parts[0] != VERSION:
        return _forged("not a ticket; ask for one with POST /v1/tickets")
    payload = _from_text(parts[1])
    mac = _from_text(parts[2])
    if not any(hmac.compare_digest(_sign(payload, key.secret), mac) for key in keys):
        return _forged("the ticket's signature is not by one of our keys")
    ticket = _split_fields(payload)
    if (ticket.claim.team, ticket.claim.service) != (team, service):
        return _forged("the ticket was issued for another team or service")
    return ticket


def _forged(detail: str) -> Absent:
    return Absent(Reason.TICKET_FORGED, detail=detail)


def _sign(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, _CONTEXT + payload, "sha256")


def _join_fields(ticket: Ticket, key_id: str) -> bytes:
    owner, claim = ticket.owner, ticket.claim
    fields = (
        key_id,
        owner.host,
        owner.incarnation,
        owner.address,
        claim.team,
        claim.service,
        repr(ticket.expires_at),
        claim.key,
    )
    if any(_SEPARATOR in field for field in fields):
        raise ValueError("a ticket's fields must not hold the separator U+001F")
    return _SEPARATOR.join(fields).encode()


def _split_fields(payload: bytes) -> Ticket:
    fields = payload.decode().split(_SEPARATOR)
    _, host, incarnation, address, team, service, expires_at, key = fields
    return Ticket(
        owner=Owner(host, incarnation, address),
        claim=Claim(team, service, key, KeyOrigin.TICKET),
        expires_at=float(expires_at),
    )


def _to_text(raw: bytes) -> str:
    return urlsafe_b64encode(raw).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    try:
        return urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (Base64Error, ValueError):
        return b""
