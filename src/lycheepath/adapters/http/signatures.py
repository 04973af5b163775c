"""
Signatures on HTTP requests between hosts.

A host that forwards a request, or requests a value from a peer, signs what
the receiver acts on: the method, the path, the request's identity, the hosts
that it has passed and the caller's credential. A signature is valid for
``SIGNATURE_LIFETIME_S`` seconds of wall-clock time, so hosts' clocks must
agree within that bound. A request replayed within it is subject to the same
checks as a retry.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ...host.settings import PeerKey
    from .gate import RequestHead

PEER_HEADER = "lycheepath-peer"
PASSED_HEADER = "lycheepath-passed"
REQUEST_ID_HEADER = "lycheepath-request-id"
SIGNED_HEADERS = (
    REQUEST_ID_HEADER,
    PASSED_HEADER,
    "authorization",
    "lycheepath-ticket",
    "idempotency-key",
    "lycheepath-model",
    "lycheepath-heard-at",
)
SIGNATURE_LIFETIME_S = 30.0


@dataclass(frozen=True, slots=True)
class Forward:
    """A request that a peer sent; ``passed`` lists the hosts that it passed."""

    sender: str
    passed: tuple[str, ...]


def sign_request(
    head: RequestHead, sender: str, keys: Sequence[PeerKey], unix_s: float
) -> dict[str, str]:
    """Return the header that authenticates a request to a peer."""
    key = keys[0]
    stamp = f"{key.id};{sender};{unix_s:.3f}"
    return {PEER_HEADER: f"{stamp};{_compute_mac(key, stamp, head.method, head)}"}


def verify_request(
    head: RequestHead, keys: Sequence[PeerKey], unix_s: float
) -> Forward | None:
    """Return the sender and passed hosts, or None if the signature is invalid."""
    parts = head.headers.get(PEER_HEADER, "").split(";")
    if len(parts) != 4:
        return None
    key_id, sender, signed_at, mac = parts
    if not _is_fresh(signed_at, unix_s):
        return None
    stamp = f"{key_id};{sender};{signed_at}"
    for key in keys:
        if key.id == key_id and hmac.compare_digest(
            _compute_mac(key, stamp, head.method, head).encode(), mac.encode()
        ):
            return Forward(sender, list_passed_hosts(head.headers))
    return None


def list_passed_hosts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the hosts that a request has passed, oldest first."""
    text = headers.get(PASSED_HEADER, "")
    return tuple(host for host in text.split(",") if host)


def _is_fresh(signed_at: str, unix_s: float) -> bool:
    try:
        return abs(float(signed_at) - unix_s) <= SIGNATURE_LIFETIME_S
    except ValueError:
        return False


def _compute_mac(key: PeerKey, stamp: str, method: str, head: RequestHead) -> str:
    signed = [stamp, method, head.path]
    signed.extend(head.headers.get(name, "") for name in SIGNED_HEADERS)
    message = "\n".join(signed).encode()
    return hmac.new(key.secret, message, hashlib.sha256).hexdigest()
