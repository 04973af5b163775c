"""JSON values that a faulty writer may leave where another one is expected."""

from __future__ import annotations

from typing import Any

import orjson
from hypothesis import strategies

DEEP = b"[" * 1000 + b"]" * 1000
# As JSON text, since some of these are none that an encoder would write.
ODD_VALUES = strategies.sampled_from(
    [
        DEEP,
        b'{"a":' * 900 + b"1" + b"}" * 900,
        b"1e300",
        b"-1e300",
        b"1e400",
        b"NaN",
        b"Infinity",
        b"0",
        b"-1",
        b"1e18",
        b"18446744073709551615",
        b"9" * 5000,
        b"true",
        b"null",
        b'"4"',
        b'"nan"',
        b'""',
        b'"\\ud800"',
        b'"\\u0000"',
        b'"a\\r\\nb: c"',
        b'" a "',
        b'"\xff\xfe"',
        b'"' + b"x" * 100_000 + b'"',
        b'"10.0.0.1:0"',
        b'"10.0.0.1:65536"',
        b'"10.0.0.1:-1"',
        b'"a b:80"',
        b'"\xc3\xa9..x:80"',
        '"10.0.0.1:٣"'.encode(),
    ]
) | strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
).map(orjson.dumps)


def replace_value(value: Any, path: tuple[Any, ...], odd: bytes) -> bytes:
    """Return the JSON of a value with the odd one in the place that a path names."""
    copy = orjson.loads(orjson.dumps(value))
    inner = copy
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = "(odd)"
    return orjson.dumps(copy).replace(b'"(odd)"', odd)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths to all fields of a value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for name, inner in items:
        found.append((*path, name))
        if isinstance(inner, dict | list):
            found += list_paths(inner, (*path, name))
    return found
