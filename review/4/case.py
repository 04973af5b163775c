"""
A runner crashes and starts again under its id, cold, while the store is down.

The gateways reach it again by their own probes before they can read that it is cold.
"""

from __future__ import annotations

import random
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import trio
from harness import BOUNDS, COLD_PER_S, ZONES, main, make_route, make_service

if TYPE_CHECKING:
    from harness import Gateway, Run, Runner, Site

POOL = "lycheepath-pool"
COLD_S = 3.0
SERVICES = [make_service(POOL, 630, COLD_S, engine=True)]
ALLOWED = COLD_PER_S * BOUNDS["cold_over"] + BOUNDS["cold_slack"]
DOWN_S = 2.0
STORE_DOWN_S = 4.5
# Requests a second for each gateway of the region.
RATE = 15.0
# As many shared parts of prompts as the site file has for these requests.
PARTS = (4, 432)
EVENTS = 7


async def write_stream(runner: Runner, run: Run, stream: trio.SocketStream) -> None:
    """Write a short stream."""
    await trio.sleep(0.12)
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Request-Id: {run.id}\r\nResponse-Signature: {run.id}\r\n"
        f"Server-Load: {runner.running},0,{runner.slots}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {run.id} {number}\n\n".encode()
        text = b"%x\r\n%b\r\n" % (len(event), event)
        await stream.send_all(head.encode() + text if head else text)
        head = ""
        await trio.sleep(0.025)
    await stream.send_all(b"0\r\n\r\n")


def draw_prompt() -> dict[str, str]:
    """Return the headers of a request's prompt."""
    first, second = (random.randrange(count) for count in PARTS)
    own = random.getrandbits(40)
    return {
        "Model": "m",
        "Token-Usage": "9190,60",
        "Prompt-Prefix": f"a{first:x}:2520,b{second:x}:3780,{own:x}:2890",
    }


async def keep_asking(site: Site, gateway: Gateway) -> None:
    """Send requests until cancelled."""
    while True:
        ask = partial(site.ask, gateway, "POST", "/day-plan/1", b"plan", draw_prompt())
        site.nursery.start_soon(partial(ask, deadline_ms=4000))
        await trio.sleep(random.uniform(0.8, 1.2) / RATE)


async def play(site: Site, trouble: bool) -> str:
    """Return what broke FAILBACK, or an empty text."""
    route = make_route(
        "day-plan",
        POOL,
        "streaming",
        timeout_ms=4000,
        target_latency_ms=800,
        gap_aim_ms=400,
        priority=1,
        max_attempts=1,
    )
    site.configure(10, [route], SERVICES)
    for zone in [*ZONES, *ZONES]:
        await site.add_runner(POOL, zone, write_stream, slots=128)
    await site.start_gateways(per_zone=3)
    await trio.sleep(2.0)
    for gateway in site.gateways[:3]:
        site.nursery.start_soon(keep_asking, site, gateway)
    await trio.sleep(8.0)
    runner = site.runners[0]
    cold_times: list[tuple[float, float]] = []
    if trouble:
        site.store.leave()
        site.nursery.start_soon(end_outage, site)
        await runner.crash(DOWN_S, COLD_S)
        cold_times.append((site.now(), site.now() + COLD_S))
    await trio.sleep(COLD_S + 3.0)
    times = [
        run.arrived_at
        for run in site.runs
        if run.runner == runner.name
        and any(since <= run.arrived_at < until for since, until in cold_times)
    ]
    most = max(
        (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
    )
    site.record.write("cold-runner", requests=len(times), most_in_a_second=most)
    if most <= ALLOWED:
        return ""
    return f"FAILBACK: a cold runner got {most} requests in a second; allowed {ALLOWED}"


async def end_outage(site: Site) -> None:
    """End the store's outage; it has lost nothing."""
    await trio.sleep(STORE_DOWN_S)
    site.store.away = False


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
