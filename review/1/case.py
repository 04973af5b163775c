"""
The store comes back from a copy some seconds old; later the operator moves a route.

Before the drill the operator has changed the configuration three times. The drill takes
these revisions back; the operator writes the last configuration again. More than
``contact_ms`` after the store is back, so that all gateways are in touch, the operator moves
deposits to another service.
"""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import trio
from harness import BOUNDS, ZONES, Site, main, make_route, make_service

OLD, NEW = "booking-desk", "deposit-desk"
SERVICES = [make_service(name, 110) for name in (OLD, NEW)]
COPY_AGE_S = 6.0
AWAY_S = 1.0
CONTACT_S = BOUNDS["contact_ms"] / 1000.0
CONFIGURATION_S = BOUNDS["config_deadline_ms"] / 1000.0
WATCH_S = 20.0


def list_routes(timeout_ms: int, deposits: str = OLD) -> list[dict]:
    """Return the routes of one version."""
    return [
        make_route("date-check", OLD, "safe", timeout_ms=timeout_ms),
        make_route("book-pay", deposits, "unsafe", timeout_ms=timeout_ms),
    ]


async def play(site: Site, trouble: bool) -> str:
    """Return what broke CONFIG, or an empty text."""
    store = site.store
    site.configure(10, list_routes(1200), SERVICES)
    for zone in ZONES:
        for service in (OLD, OLD, NEW):
            await site.add_runner(service, zone)
    await site.start_gateways(per_zone=2)
    for gateway in site.gateways:
        ask = partial(site.keep_asking, gateway, 0.4)
        site.nursery.start_soon(ask, "GET", "/date-check/1")
        site.nursery.start_soon(ask, "POST", "/book-pay/1", b"deposit")
    await trio.sleep(COPY_AGE_S)
    for number in range(1, 4):
        site.configure(10 + 3 * number, list_routes(1200 + number), SERVICES)
        await trio.sleep(1.0)
    if trouble:
        store.leave()
        await trio.sleep(AWAY_S)
        store.come_back(COPY_AGE_S)
        # What the operator and the runners wrote is written again.
        for runner in site.runners:
            runner.announce()
        site.configure(19, list_routes(1203), SERVICES)
    else:
        await trio.sleep(AWAY_S)
    await trio.sleep(CONTACT_S + 0.5)
    site.configure(22, list_routes(1203, NEW), SERVICES)
    moved_at = site.now()
    await trio.sleep(WATCH_S)

    due = [
        run
        for run in site.runs
        if site.sent[run.id].path.startswith("/book-pay/")
        and site.sent[run.id].at > moved_at + CONFIGURATION_S
    ]
    old = [run for run in due if run.service == OLD]
    assert due, "no deposit was sent after the route was moved"
    if not old:
        return ""
    last_s = site.sent[old[-1].id].at - moved_at
    return (
        f"CONFIG: {len(old)} of {len(due)} deposits that were sent later than"
        f" {CONFIGURATION_S} s after version 22 was acknowledged ran at {OLD}, the last"
        f" one sent {last_s:.1f} s after it"
    )


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
