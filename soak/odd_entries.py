"""
Entries that another writer leaves among those of the targets.

Each is a target's entry with one odd value, or no JSON at all::

    key, data = draw_odd_entry(random.Random(7), 1)
"""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING

from standins.site import REGIONS, make_entry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# Time between two odd entries, and until one is removed; half of them stay.
INTERVAL_S = (0.3, 2.0)
REMOVED_AFTER_S = (0.5, 6.0)
REMOVED_SHARE = 0.5
DEPTH = 1000
# An address at which nothing listens.
DEAD_ADDRESS = "127.0.0.1:1"
NUMBERS = ("1e300", "-1e300", "1" + "0" * 400, "1e999", "-1")
PORTS = (70_000, -1, 0, 10**30)
NO_JSON = (b"", b"{", b"\xff\xfe\x00", b"null", b"[" * DEPTH, b'"text"')
# Stands for the odd value until the rest of the entry is written.
PLACEHOLDER = "odd-value"


class OddKind(Enum):
    """What is odd about an entry."""

    NESTED = "nested"
    NUMBER = "number"
    PORT = "port"
    NO_JSON = "no-json"


def draw_odd_entry(
    draw: random.Random, number: int, services: Sequence[str]
) -> tuple[str, bytes]:
    """Return the key of an odd entry and its bytes."""
    kind = draw.choice(list(OddKind))
    key = f"servers/odd-{number}"
    if kind is OddKind.NO_JSON:
        return key, draw.choice(NO_JSON)
    zone = draw.choice(list(REGIONS))
    address = DEAD_ADDRESS
    if kind is OddKind.PORT:
        address = f"127.0.0.1:{draw.choice(PORTS)}"
    entry = make_entry(draw.choice(services), address, zone)
    value = ""
    if kind is OddKind.NESTED:
        opening, closing = draw.choice((("[", "]"), ('{"a":', "}")))
        value = opening * DEPTH + "1" + closing * DEPTH
        entry[draw.choice([*entry, "more"])] = PLACEHOLDER
    elif kind is OddKind.NUMBER:
        value = draw.choice(NUMBERS)
        entry[draw.choice(sorted(entry))] = PLACEHOLDER
    return key, json.dumps(entry).replace(f'"{PLACEHOLDER}"', value).encode()
