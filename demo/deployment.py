"""The demonstrated deployment: three regions, nine hosts and six runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from standins.fleet import build_service

if TYPE_CHECKING:
    from standins.fleet import Fleet

REGIONS = ("accra", "kumasi", "tamale")
HOSTS_PER_REGION = 3
RUNNERS_PER_REGION = 2
SERVICE = "booking"
RESEND_WINDOW_S = 5.0
TOKEN_MS = 10.0
RUNNER_SLOTS = 16


async def start_deployment(fleet: Fleet) -> None:
    """Start all processes and wait until every host is ready."""
    await fleet.start_platform()
    async with trio.open_nursery() as nursery:
        for region in REGIONS:
            nursery.start_soon(_start_targets, fleet, region)
    for region in REGIONS:
        fleet.caller(region=region)
        for number in range(1, HOSTS_PER_REGION + 1):
            fleet.add_host(f"host-{region}-{number}", f"{region}-{number}")
    service = build_service(SERVICE, RESEND_WINDOW_S)
    await fleet.publish_environment(services=(service,))
    await fleet.start_hosts()


async def _start_targets(fleet: Fleet, region: str) -> None:
    for number in range(1, RUNNERS_PER_REGION + 1):
        await fleet.start_engine(
            f"runner-{region}-{number}",
            f"{region}-{number}",
            slots=RUNNER_SLOTS,
            token_ms=TOKEN_MS,
        )
    await fleet.start_service(f"booking-{region}", f"{region}-1", SERVICE)
