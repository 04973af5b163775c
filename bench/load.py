"""
Sends chat requests to one address at a constant rate: ``python -m bench.load``.

Prints one JSON line: the rates of completed requests and streamed events after
the warm-up, and the number of failures of the whole run.
"""

from __future__ import annotations

import argparse
import json
import time
from dataclasses import dataclass

import trio

from .client import Pool, UnexpectedAnswerError, build_body


@dataclass(slots=True)
class LoadCounts:
    """Counts of completed and failed requests, and of received events."""

    completed: int = 0
    events: int = 0
    failed: int = 0
    detail: str = ""

    def add_events(self, new_events: int) -> None:
        """Add newly received events."""
        self.events += new_events


async def send_load(
    pool: Pool, rate: float, tokens: int, duration_s: float, counts: LoadCounts
) -> None:
    """Start ``rate`` requests per second, regardless of those in flight."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * duration_s)):
            await trio.sleep_until(started + number / rate)
            nursery.start_soon(_send_chat, pool, f"question {number}", tokens, counts)
        nursery.cancel_scope.cancel()


async def _send_chat(pool: Pool, text: str, tokens: int, counts: LoadCounts) -> None:
    try:
        async with pool.connect() as connection:
            body = build_body(text, tokens, stream=True)
            await connection.stream(body, counts.add_events)
    except (UnexpectedAnswerError, OSError, trio.BrokenResourceError) as error:
        counts.failed += 1
        counts.detail = repr(error)
        return
    counts.completed += 1


async def _main(options: argparse.Namespace) -> None:
    pool, counts = Pool(options.address, options.key), LoadCounts()
    duration_s = options.warm_up_s + options.duration_s
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            send_load, pool, options.rate, options.tokens, duration_s, counts
        )
        await trio.sleep(options.warm_up_s)
        completed, events, at = counts.completed, counts.events, time.monotonic()
        await trio.sleep(options.duration_s)
        took_s = time.monotonic() - at
        nursery.cancel_scope.cancel()
    line = {
        "requests_per_s": round((counts.completed - completed) / took_s, 1),
        "events_per_s": round((counts.events - events) / took_s),
        "failed": counts.failed,
        "detail": counts.detail,
    }
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Sends chats at a steady rate.")
    parser.add_argument("--address", required=True)
    parser.add_argument("--key", default="")
    parser.add_argument("--rate", type=float, default=25.0)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--warm-up-s", type=float, default=6.0)
    parser.add_argument("--duration-s", type=float, default=20.0)
    trio.run(_main, parser.parse_args())
