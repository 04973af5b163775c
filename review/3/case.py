"""Runners that were registered before the first configuration have no cold limit."""

from __future__ import annotations

import os
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from harness import (
    BOUNDS,
    COLD_PER_S,
    NotRunError,
    main,
    make_route,
    make_service,
    send_text,
)

if TYPE_CHECKING:
    from harness import Run, Runner, Site

# When the operator writes the first configuration; the gateways have started by then.
CONFIGURED_AT_S = 3.0
SETTLE_S = 8.0
DOWN_S = 2.0
COLD_S = 3.0
WATCH_S = DOWN_S + COLD_S + 2.0
WORK_S = 0.3
ASKS_PER_S = 8.0
# Requests to a cold runner in any second that the rule allows.
ALLOWED = COLD_PER_S * BOUNDS["cold_over"] + BOUNDS["cold_slack"]

# Requests in a second under which a cold runner crashes.
CRASHES_ABOVE = 1.5 * ALLOWED


async def work(runner: Runner, run: Run, stream: trio.SocketStream) -> None:
    """Answer after a while; a cold runner crashes at a rate well above the bound."""
    site = runner.site
    count = count_within_second(site, runner, run)
    if runner.announces and runner.cold_left_ms and count > CRASHES_ABOVE:
        site.nursery.start_soon(runner.crash, DOWN_S, COLD_S)
    await trio.sleep(WORK_S)
    headers = [f"Request-Id: {run.id}", f"Response-Signature: {runner.name}.{run.id}"]
    await send_text(stream, 200, b"done " + run.id.encode(), headers)


def count_within_second(site: Site, runner: Runner, last: Run) -> int:
    """Return the requests sent and arrived within the second that ends with one."""
    since = last.arrived_at - 1.0
    return sum(
        run.runner == runner.name
        and since <= run.arrived_at <= last.arrived_at
        and site.sent[run.id].at >= since
        for run in site.runs
    )


def configure(site: Site) -> None:
    """Write the first configuration."""
    route = make_route("book-pay", "desk", "unsafe", timeout_ms=2000)
    site.configure(7, [route], [make_service("desk", 630, cold_s=COLD_S)])


async def configure_later(site: Site) -> None:
    """Write the first configuration once the gateways have started."""
    await trio.sleep(CONFIGURED_AT_S)
    configure(site)


async def play(site: Site, trouble: bool) -> str:
    for zone, count in (("accra-a", 3), ("kumasi-a", 2), ("tamale-a", 2)):
        for _ in range(count):
            await site.add_runner("desk", zone, work=work, slots=32)
    if os.environ.get("CONFIGURED_FIRST"):
        configure(site)
    else:
        site.nursery.start_soon(configure_later, site)
    await site.start_gateways(per_zone=2)
    for gateway in site.gateways:
        request = gateway, 1.0 / ASKS_PER_S, "POST", "/book-pay/1", b"x" * 200
        site.nursery.start_soon(partial(site.keep_asking, *request))
    await trio.sleep(SETTLE_S)
    if not site.runs:
        raise NotRunError("no request ran")
    returning = [runner for runner in site.runners if runner.zone == "accra-a"]
    if trouble:
        for runner in returning:
            site.nursery.start_soon(runner.crash, DOWN_S, COLD_S)
    gone_at = site.now()
    await trio.sleep(WATCH_S)
    worst = 0
    for runner in returning if trouble else ():
        cold = [
            run
            for run in site.runs
            if run.runner == runner.name and run.arrived_at - gone_at >= DOWN_S
        ]
        cold = [run for run in cold if run.arrived_at - gone_at <= DOWN_S + COLD_S]
        most = max((count_within_second(site, runner, run) for run in cold), default=0)
        lost = sum(run.end == "crashed" for run in cold)
        site.record.write("judged", runner=runner.name, most=most, lost_runs=lost)
        worst = max(worst, most)
    if worst <= ALLOWED:
        return ""
    return (
        f"FAILBACK: {worst} requests to a cold runner in one second, {ALLOWED} allowed"
    )


if __name__ == "__main__":
    main(play, Path(__file__).parent)
