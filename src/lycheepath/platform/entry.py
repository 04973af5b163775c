"""The platform's calls to a gateway: readiness probes and directory queries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable

READY_PATH = "/lycheepath/readyz"
RESOLVE_PATH = "/lycheepath/resolve"


def read_resolve(target: str) -> tuple[str, str] | None:
    """
    Return the host name and the caller's region in a directory query.

    Returns None if ``target`` isn't a directory query.
    """
    path, _, query = target.partition("?")
    if path != RESOLVE_PATH:
        return None
    fields = parse_qs(query)
    return fields.get("name", [""])[0].lower(), fields.get("region", [""])[0]


def write_resolved(addresses: Iterable[str], ttl_s: float) -> bytes:
    """Return the body of a directory answer with the addresses for a caller."""
    return orjson.dumps({"addresses": list(addresses), "ttl_s": ttl_s})
