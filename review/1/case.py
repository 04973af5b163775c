"""The store comes back from a copy; later configurations are never in force."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from harness import BOUNDS, NotRunError, main, make_route, make_service

if TYPE_CHECKING:
    from harness import Site

STARTS_AT_S = 4.0
NEW_RUNNERS = 3
START_GAP_S = 0.6
COLD_S = 3.0
AWAY_AT_S = STARTS_AT_S + 4.5
AWAY_S = 1.0
COPY_AGE_S = 5.0
# The store is stable again contact_ms after it came back.
MOVE_AT_S = AWAY_AT_S + AWAY_S + BOUNDS["contact_ms"] / 1000.0 + 4.0
WATCH_S = 16.0
REQUEST_INTERVAL_S = 0.25


def configure(site: Site, version: int, service: str) -> None:
    """Write a configuration in which deposits go to a service."""
    route = make_route("book-pay", service, "unsafe")
    services = [make_service(name, 110, COLD_S) for name in ("desk", "new-desk")]
    site.configure(version, [route], services)


async def start_cold_runners(site: Site) -> None:
    """Start runners; their entries change at each heartbeat while they are cold."""
    for _ in range(NEW_RUNNERS):
        runner = await site.add_runner("new-desk", "accra-a")
        runner.cold_until = trio.current_time() + COLD_S
        await trio.sleep(START_GAP_S)


async def play(site: Site, trouble: bool) -> str:
    for zone, count in (("accra-a", 5), ("kumasi-a", 4), ("tamale-a", 3)):
        await site.add_runner("desk", zone)
        for _ in range(count):
            await site.add_runner("new-desk", zone)
    configure(site, 7, "desk")
    await site.start_gateways(per_zone=2)
    started = site.now()
    for gateway in site.gateways:
        request = gateway, REQUEST_INTERVAL_S, "POST", "/book-pay/1", b"x" * 200
        site.nursery.start_soon(partial(site.keep_asking, *request))
    await trio.sleep(STARTS_AT_S)
    await start_cold_runners(site)
    await trio.sleep(started + AWAY_AT_S - site.now())
    if trouble:
        site.store.leave()
        await trio.sleep(AWAY_S)
        # What was written is written again: the runners do so at their next heartbeats.
        site.store.come_back(COPY_AGE_S)
    await trio.sleep(started + MOVE_AT_S - site.now())
    if not any(run.service == "desk" for run in site.runs):
        raise NotRunError("no deposit ran")
    configure(site, 10, "new-desk")
    acknowledged_at = site.now()
    await trio.sleep(WATCH_S)
    due_at = acknowledged_at + BOUNDS["config_deadline_ms"] / 1000.0
    late = [
        run
        for run in site.runs
        if run.service == "desk" and site.sent[run.id].at > due_at
    ]
    moved = [run for run in site.runs if run.service == "new-desk"]
    site.record.write("judged", at_old_service=len(late), at_new_service=len(moved))
    if not late:
        return ""
    return (
        f"CONFIG: {len(late)} deposits ran at the service that the acknowledged"
        f" configuration took the route from, the last one"
        f" {site.sent[late[-1].id].at - acknowledged_at:.1f} s after it; {len(moved)} at"
        f" the new one"
    )


if __name__ == "__main__":
    main(play, Path(__file__).parent)
