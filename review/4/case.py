"""
All gateways are killed, twice, after a part of prompts has crashed runners.

Each time, when they are in touch again, requests with that part come once more.
"""

from __future__ import annotations

import random
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import trio
from harness import BOUNDS, ZONES, main, make_route, make_service

if TYPE_CHECKING:
    from harness import Run, Runner, Site

POOL = "lycheepath-pool"
SERVICES = [make_service(POOL, 630, engine=True)]
EVENTS = 7
BACK_S = 2.0
SOUND_RATE = 2.0
FATAL_RATE = 4.0
FATAL_S = 3.0
DOWN_S = 1.0
KILLS = 2
CONTACT_S = BOUNDS["contact_ms"] / 1000.0
FATAL_PART, FIRST_PART = "fa7a1", "5c1e07a2"
COUNTED_END = 5
ALLOWED = 3


async def write_stream(runner: Runner, run: Run, stream: trio.SocketStream) -> None:
    """Write a short stream, or crash as it begins."""
    await trio.sleep(0.12)
    if f"{FATAL_PART}:" in run.fields.get("prompt-prefix", ""):
        if runner.announces:
            run.fields["crashed"] = "1"
            runner.site.nursery.start_soon(runner.crash, BACK_S)
        await trio.sleep(1.0)
        return
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


async def keep_asking(site: Site, rate: float, fatal: bool) -> None:
    """Send requests to any gateway until cancelled; no two are alike."""
    while True:
        second = FATAL_PART if fatal else f"b{random.randrange(432):x}"
        prefix = f"{FIRST_PART}:2520,{second}:3780,{random.getrandbits(40):x}:2890"
        headers = {"Model": "m", "Token-Usage": "9190,60", "Prompt-Prefix": prefix}
        gateway = random.choice(site.gateways)
        body = random.randbytes(8).hex().encode()
        ask = partial(site.ask, gateway, "POST", "/day-plan/1", body, headers)
        site.nursery.start_soon(partial(ask, deadline_ms=4000))
        await trio.sleep(random.uniform(0.8, 1.2) / rate)


async def send_fatal(site: Site) -> None:
    """Send requests with the part for a while."""
    site.record.write("fatal-requests")
    with trio.move_on_after(FATAL_S):
        await keep_asking(site, FATAL_RATE, True)


async def kill_all(site: Site) -> None:
    """Kill all gateways at the same moment, and start them again."""
    site.record.write("all-killed")
    for gateway in site.gateways:
        gateway.end()
    await trio.sleep(DOWN_S)
    for gateway in site.gateways:
        gateway.start()
    for gateway in site.gateways:
        await gateway.wait_until_ready()


async def play(site: Site, trouble: bool) -> str:
    """Return what broke BUDGET, or an empty text."""
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
    await trio.sleep(CONTACT_S)
    site.nursery.start_soon(keep_asking, site, SOUND_RATE * len(site.gateways), False)
    await trio.sleep(3.0)
    await send_fatal(site)
    back_at = site.now()
    for _ in range(KILLS):
        await trio.sleep(2.0)
        if trouble:
            await kill_all(site)
            back_at = site.now()
        await trio.sleep(CONTACT_S + 2.0)
        await send_fatal(site)
    await trio.sleep(3.0)
    fatal = [
        run for run in site.runs if f"{FATAL_PART}:" in run.fields["prompt-prefix"]
    ]
    crashes = [run.arrived_at for run in fatal if "crashed" in run.fields]
    site.record.write("crashes", at=[round(at, 2) for at in crashes])
    if len(crashes) < COUNTED_END:
        return ""
    since = max(crashes[COUNTED_END - 1], back_at) + CONTACT_S
    late = [run for run in fatal if run.arrived_at > since]
    if len(late) <= ALLOWED:
        return ""
    return (
        f"BUDGET: {len(late)} requests with the part reached runners later than"
        f" {CONTACT_S} s after the fifth crash; {ALLOWED} are allowed"
    )


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
