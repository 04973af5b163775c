"""
Measures the datagrams between the gateways of a site, which run in one process.

A third of the hosts and targets are in each region. With ``--limit`` each target
states that it accepts so many requests per second. With ``--versions`` targets of several
software versions serve streams, cut two in five of them, and callers take these up; with
``--fatal`` so many requests a second end the targets that serve them::

    python -m bench.peer_traffic --hosts 61 --per-second 60 --limit 2
    python -m bench.peer_traffic --hosts 9 --versions 2 --per-second 30
"""

from __future__ import annotations

import random
from argparse import ArgumentParser, Namespace
from collections import Counter
from itertools import cycle, islice
from typing import Any

import orjson
import trio

from lycheepath.adapters.crash_messages import CRASH_REPORT
from lycheepath.adapters.origin_messages import (
    ORIGIN_QUERY,
    ORIGIN_REPLY,
    ORIGIN_REPORT,
)
from standins.site import REGIONS, Site, answer_text, make_route
from standins.stream_service import StreamService, ask_for_streams
from standins.stream_takeups import TakeUps

# Time until all hosts know each other and no start is in the figures.
SETTLE_S = 6.0
# Datagrams by their first field, see ``adapters``.
KINDS = {
    4: "heartbeat",
    31: "load",
    32: "load",
    33: "load",
    CRASH_REPORT: "crash report",
    ORIGIN_REPORT: "origin report",
    ORIGIN_QUERY: "origin query",
    ORIGIN_REPLY: "origin reply",
}
FATAL_PART = "fatal"
CUT_SHARE = 0.4


async def _measure(options: Namespace) -> dict[str, Any]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    statuses: Counter[int | str] = Counter()
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        streams = options.versions > 1 or options.fatal > 0.0
        service = StreamService(site, "books", frozenset({FATAL_PART}))
        if options.versions > 1:
            service.cut_share = CUT_SHARE
        header = [f"Server-Limit: {options.limit}"] if options.limit else []
        for number, zone in enumerate(islice(cycle(REGIONS), options.targets)):
            if streams:
                version = f"v{number // len(REGIONS) % options.versions}"
                await service.add_target(zone, version)
            else:
                await site.add_target("books", answer_text(b"done", 200, *header), zone)
        kind = "streaming" if streams else "unsafe"
        site.configure(make_route("books", kind, resumable=streams, max_attempts=1))
        nodes = [
            await site.start_gateway(f"host-{number}", zone)
            for number, zone in enumerate(islice(cycle(REGIONS), options.hosts))
        ]
        await trio.sleep(SETTLE_S)
        for node in nodes:
            node.peers._send = _count_sends(node.peers._send, counts, sizes)  # type: ignore[method-assign]

        async def ask(number: int) -> None:
            node = nodes[number % len(nodes)]
            answer = await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
            statuses[answer.status] += 1

        async with trio.open_nursery() as callers:
            started = trio.current_time()
            if options.fatal:
                parts = "shared", FATAL_PART
                callers.start_soon(
                    ask_for_streams,
                    site,
                    nodes,
                    lambda _: parts,
                    options.fatal,
                    options.seconds,
                )
            if streams:
                takers = TakeUps(site, nodes, random.Random(1))
                await takers.follow_streams(options.per_second, options.seconds)
                statuses.update(
                    {
                        "streams": sum(s.begun for s in takers.streams),
                        "take-ups": sum(s.take_ups for s in takers.streams),
                    }
                )
                callers.cancel_scope.cancel()
            for number in range(int(options.per_second * options.seconds)):
                await trio.sleep_until(started + number / options.per_second)
                callers.start_soon(ask, number)
            await trio.sleep_until(started + options.seconds)
        nursery.cancel_scope.cancel()
    per_host_s = options.hosts * options.seconds
    return {
        "hosts": options.hosts,
        "limit": options.limit,
        "statuses": {str(status): n for status, n in statuses.items()},
        "datagrams_per_host_s": round(counts.total() / per_host_s, 2),
        "bytes_per_host_s": round(sizes.total() / per_host_s, 1),
        "datagrams": dict(sorted(counts.items())),
        "bytes": dict(sorted(sizes.items())),
    }


def _count_sends(send: Any, counts: Counter[str], sizes: Counter[str]) -> Any:
    async def count_send(data: bytes, ip: str) -> None:
        kind = KINDS.get(orjson.loads(data)[0], "limit")
        counts[kind] += 1
        sizes[kind] += len(data)
        await send(data, ip)

    return count_send


def _read_options() -> Namespace:
    parser = ArgumentParser(prog="python -m bench.peer_traffic", description=__doc__)
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--targets", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--per-second", type=float, default=60.0, help="requests")
    parser.add_argument("--limit", type=float, default=0.0, help="of each target")
    parser.add_argument("--versions", type=int, default=1, help="of targets")
    parser.add_argument(
        "--fatal", type=float, default=0.0, help="requests a second that end targets"
    )
    return parser.parse_args()


if __name__ == "__main__":
    print(orjson.dumps(trio.run(_measure, _read_options())).decode())
