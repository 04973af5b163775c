"""
Measures the datagrams between the gateways of a site, which run in one process.

A third of the hosts and targets are in each region. With ``--limit`` each target
states that it accepts so many requests per second::

    python -m bench.peer_traffic --hosts 61 --per-second 60 --limit 2
"""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections import Counter
from itertools import cycle, islice
from typing import Any

import orjson
import trio

from standins.site import REGIONS, Site, answer_text, make_route

# Time until all hosts know each other and no start is in the figures.
SETTLE_S = 6.0
# Datagrams by their first field, see ``adapters``.
KINDS = {4: "heartbeat", 31: "load", 32: "load", 33: "load"}


async def _measure(options: Namespace) -> dict[str, Any]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    statuses: Counter[int] = Counter()
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        header = [f"Server-Limit: {options.limit}"] if options.limit else []
        zones = cycle(REGIONS)
        for _ in range(options.targets):
            behaviour = answer_text(b"done", 200, *header)
            await site.add_target("books", behaviour, next(zones))
        site.configure(make_route("books", "unsafe"))
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
            for number in range(int(options.per_second * options.seconds)):
                await trio.sleep_until(started + number / options.per_second)
                callers.start_soon(ask, number)
            await trio.sleep_until(started + options.seconds)
        nursery.cancel_scope.cancel()
    per_host_s = options.hosts * options.seconds
    return {
        "hosts": options.hosts,
        "limit": options.limit,
        "statuses": {str(status): n for status, n in sorted(statuses.items())},
        "datagrams_per_host_s": round(counts.total() / per_host_s, 2),
        "bytes_per_host_s": round(sizes.total() / per_host_s, 1),
        "datagrams": dict(sorted(counts.items())),
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
    return parser.parse_args()


if __name__ == "__main__":
    print(orjson.dumps(trio.run(_measure, _read_options())).decode())
