"""
Sends requests with a fatal part beside sound ones, with all callers in one process.

Each target that begins an answer to a fatal request ends, and comes back a moment later;
no sound request was answered before. This process runs the store and the targets; each
gateway and all callers together have one of their own. The line printed has the share of
sound requests served at the end, the ends, the fatal requests that came late, and the
share of a core that each process used::

    python -m bench.crashing_parts --hosts 3 --sound-parts 30 --seed 5
"""

from __future__ import annotations

import random
from argparse import ArgumentParser, Namespace
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

import orjson
import trio

from standins.host_processes import read_hosts, run_hosts
from standins.site import Site, make_route
from standins.stream_service import StreamOutcome, StreamService, ask_for_streams

from .separate_callers import MEET_S, announce_ready, measure_callers

FATAL_PART, SHARED_PART = "bad", "shared"
# Time after the fifth end from which fatal requests count as late.
CONTACT_S = 6.0
# Time at the end of a run in which sound requests are counted.
LAST_S = 3.0


async def _measure(options: Namespace) -> dict[str, Any]:
    directory = Path(options.logs or mkdtemp(prefix="crashing-parts-"))
    directory.mkdir(exist_ok=True)
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        service = StreamService(site, "books", frozenset({FATAL_PART}))
        service.events = options.events
        for _ in range(options.targets):
            await service.add_target()
        site.configure(make_route("books", "streaming", resumable=True, sticky=True))
        zones = ["east-a"] * options.hosts
        async with run_hosts(site, directory, zones, meet_s=MEET_S) as hosts:
            measured = await measure_callers(
                "bench.crashing_parts", options, hosts, directory
            )
        nursery.cancel_scope.cancel()
    return {
        "hosts": options.hosts,
        "sound_parts": options.sound_parts,
        "seed": options.seed,
        "ends": len(service.ended_at),
        "late_fatal": service.count_late_fatal(CONTACT_S),
        **measured.describe(),
        "logs": str(directory),
    }


async def _call(options: Namespace) -> None:
    """Send the load to the gateways of a directory, and print what was served."""
    draw = random.Random(options.seed)
    hosts = read_hosts(Path(options.call))
    sound: list[StreamOutcome] = []

    def draw_sound(_: int) -> tuple[str, ...]:
        return SHARED_PART, f"good-{draw.randrange(options.sound_parts)}"

    async def ask_sound(site: Site) -> None:
        rate, seconds = options.sound_per_s, options.seconds
        sound.extend(await ask_for_streams(site, hosts, draw_sound, rate, seconds))

    announce_ready()
    async with trio.open_nursery() as nursery:
        site = Site(nursery)
        nursery.start_soon(ask_sound, site)
        parts = SHARED_PART, FATAL_PART
        await ask_for_streams(
            site, hosts, lambda _: parts, options.fatal_per_s, options.seconds
        )
    since = max(outcome.sent_at for outcome in sound) - LAST_S
    late = [outcome.served for outcome in sound if outcome.sent_at >= since]
    result = {
        "served_share": round(sum(late) / len(late), 3),
        "served_share_of_all": round(sum(o.served for o in sound) / len(sound), 3),
    }
    print(orjson.dumps(result).decode(), flush=True)


def _read_options() -> Namespace:
    parser = ArgumentParser(prog="python -m bench.crashing_parts", description=__doc__)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--targets", type=int, default=3)
    parser.add_argument("--sound-parts", type=int, default=30)
    parser.add_argument("--sound-per-s", type=float, default=20.0)
    parser.add_argument("--fatal-per-s", type=float, default=4.0)
    parser.add_argument("--events", type=int, default=50, help="of each answer")
    parser.add_argument("--seconds", type=float, default=13.0)
    parser.add_argument("--seed", type=int, default=5, help="of the sound parts")
    parser.add_argument("--logs", default="", help="folder for the processes' logs")
    parser.add_argument("--call", default="", help="used for the callers' process")
    return parser.parse_args()


if __name__ == "__main__":
    options = _read_options()
    if options.call:
        trio.run(_call, options)
    else:
        print(orjson.dumps(trio.run(_measure, options)).decode())
