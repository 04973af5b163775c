"""
Measures the size and CPU time of messages by number of items.

    python -m bench.membership.messages

For each kind of item, encodes and signs, then verifies and decodes messages with
0, 4, 8 and 12 items, and fits a line to the results.
"""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, replace
from statistics import linear_regression, median
from typing import TYPE_CHECKING

from lycheepath.adapters.peers.authentication import HEADER_BYTES, sign, verify
from lycheepath.adapters.peers.codec import decode_message, encode_message
from lycheepath.core.gossip.updates import GossipUpdate, TargetLoad, pack_target_load
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.messages import Kind, Message
from lycheepath.core.membership.model import Member
from lycheepath.host.settings import PeerKey

if TYPE_CHECKING:
    from collections.abc import Callable

KEYS = (PeerKey("new", b"n" * 32), PeerKey("old", b"o" * 32))
ITEM_COUNTS = (0, 4, 8, 12)
REPEATS = 9
CALLS_PER_REPEAT = 300
INCARNATION = 1_764_800_000_000_000_000


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A line fitted to the measured points: ``fixed + per_item * items``."""

    fixed: float
    per_item: float
    points: tuple[float, ...]


def make_message(kind: str, count: int) -> Message:
    """Return a message with ``count`` items of ``kind``."""
    message = Message(
        Kind.ACK,
        "perth-a-0017",
        INCARNATION,
        2**47 + 12345,
        "perth",
        to="perth-b-0003",
        echo=2**46 + 777,
        view_hash=0xDEADBEEF,
        values_hash=0xCAFEBABE,
    )
    if kind == "members":
        return replace(message, members=tuple(map(_make_member, range(count))))
    if kind == "news":
        return replace(message, news=tuple(map(_make_update, range(count))))
    return replace(message, values=tuple(map(_make_value, range(count))))


def time_call(call: Callable[[], object]) -> float:
    """Return the median time of ``call`` in microseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(CALLS_PER_REPEAT):
            call()
        times.append((time.perf_counter() - started) / CALLS_PER_REPEAT * 1e6)
    return median(times)


def fit_line(points: list[float]) -> FittedLine:
    """Return the line fitted to ``points``, measured at ``ITEM_COUNTS``."""
    per_item, fixed = linear_regression(ITEM_COUNTS, points)
    rounded = tuple(round(point, 1) for point in points)
    return FittedLine(round(fixed, 1), round(per_item, 2), rounded)


def measure(kind: str) -> dict[str, FittedLine]:
    """Return the fitted lines of size and times for one kind of item."""
    sizes, sending, receiving = [], [], []
    for count in ITEM_COUNTS:
        message = make_message(kind, count)
        datagram = sign(encode_message(message), KEYS)
        sizes.append(float(len(datagram)))
        sending.append(time_call(lambda m=message: sign(encode_message(m), KEYS)))  # type: ignore[misc]
        receiving.append(time_call(lambda d=datagram: decode_message(verify(d, KEYS))))  # type: ignore[misc]
    return {
        "bytes": fit_line(sizes),
        "send_us": fit_line(sending),
        "receive_us": fit_line(receiving),
    }


def _make_member(number: int) -> Member:
    return Member(
        f"perth-a-{number:04d}",
        INCARNATION + number * 10**6,
        1,
        peers_address=f"10.12.{number}.17:7400",
        callers_address=f"10.12.{number}.17:8400",
        zone="perth-a",
        region="perth",
    )


def _make_update(number: int) -> GossipUpdate:
    load = TargetLoad(f"runner-{number}", 11 + number, 3, 64_000 + 640 * number, 57)
    return replace(pack_target_load(load, 40_000 + number), age_ms=700 + number)


def _make_value(number: int) -> ValueDigest:
    return ValueDigest(f"environment/number-{number}", 6400 + number, b"\x9d" * 16)


def main() -> None:
    """Measure and print the results."""
    results = {
        kind: {name: _describe(line) for name, line in measure(kind).items()}
        for kind in ("members", "news", "values")
    }
    print(
        json.dumps(
            {"header_bytes": HEADER_BYTES, "items": ITEM_COUNTS, **results}, indent=1
        )
    )


def _describe(line: FittedLine) -> str:
    return f"{line.fixed} + {line.per_item} per item, measured {list(line.points)}"


if __name__ == "__main__":
    main()
