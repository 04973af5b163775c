"""
Sends chats to one address at a steady rate: ``python -m bench.load``.

Prints one JSON line with the requests, the streamed events and the failures
of the measured time, which begins after the warm-up.
"""

from __future__ import annotations

import argparse
import json
import time
from dataclasses import dataclass

import trio

from .client import Pool, UnexpectedAnswerError, build_body


@dataclass(slots=True)
class Tally:
    """What the load has got so far."""

    ended: int = 0
    events: int = 0
    failed: int = 0
    detail: str = ""

    def add_events(self, arrived: int) -> None:
        """Count events as they arrive."""
        self.events += arrived


async def send_load(
    pool: Pool, rate: float, tokens: int, duration_s: float, tally: Tally
) -> None:
    """Start ``rate`` requests a second, whether or not earlier ones have ended."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * duration_s)):
            await trio.sleep_until(started + number / rate)
            nursery.start_soon(_ask, pool, f"question {number}", tokens, tally)
        nursery.cancel_scope.cancel()


async def _ask(pool: Pool, text: str, tokens: int, tally: Tally) -> None:
    try:
        async with pool.connect() as connection:
            body = build_body(text, tokens, stream=True)
            await connection.stream(body, tally.add_events)
    except (UnexpectedAnswerError, OSError, trio.BrokenResourceError) as error:
        tally.failed += 1
        tally.detail = repr(error)
        return
    tally.ended += 1


async def _main(options: argparse.Namespace) -> None:
    pool, tally = Pool(options.address, options.key), Tally()
    duration_s = options.warm_up_s + options.duration_s
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            send_load, pool, options.rate, options.tokens, duration_s, tally
        )
        await trio.sleep(options.warm_up_s)
        ended, events, at = tally.ended, tally.events, time.monotonic()
        await trio.sleep(options.duration_s)
        took_s = time.monotonic() - at
        nursery.cancel_scope.cancel()
    line = {
        "requests_per_s": round((tally.ended - ended) / took_s, 1),
        "events_per_s": round((tally.events - events) / took_s),
        "failed": tally.failed,
        "detail": tally.detail,
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
