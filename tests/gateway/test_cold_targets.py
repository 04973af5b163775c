"""Targets that become cold while no host can read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from standins.cold_target import HEALTH_PATH, add_cold_targets
from standins.site import answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.cold_target import ColdTarget
    from standins.site import Site

COLD_S = 3.0
COLD_PER_S = 3.5
# The most requests that a cold target may get in a second: its rate with half of it as
# tolerance, and three more.
ALLOWED = COLD_PER_S * 1.5 + 3.0
SERVICE = {
    "cold_start_s": COLD_S,
    "cold_per_s": COLD_PER_S,
    "health_path": HEALTH_PATH,
}
ASK_INTERVAL_S = 0.05


async def start_hosts(
    site: Site, targets: int, **service: object
) -> tuple[list[ColdTarget], list[GatewayNode]]:
    started = await add_cold_targets(site, targets, answer_text(b"done"))
    site.configure(make_route("books"), service=SERVICE | service)
    nodes = [await site.start_gateway(f"east-{number}") for number in range(3)]
    await wait_until_live(*nodes)
    return started, nodes


async def keep_asking(site: Site, node: GatewayNode) -> None:
    number = 0
    while True:
        number += 1
        name = f"{node.settings.host}-{number}"
        site.nursery.start_soon(site.ask, node, b"GET", "/books/1", b"", name)
        await trio.sleep(ASK_INTERVAL_S)


@pytest.mark.parametrize("starts_known", [True, False])
async def test_target_that_restarts_without_the_store_gets_the_cold_rate(
    site: Site, starts_known: bool
) -> None:
    (target, *_), nodes = await start_hosts(site, 3)
    if not starts_known:
        target.born = 0
        site.announce(target)
        await trio.sleep(1.0)
    for node in nodes:
        site.nursery.start_soon(keep_asking, site, node)
    await trio.sleep(1.0)
    site.store.failing = 503
    target.down = True
    await trio.sleep(1.5)
    arrived = len(target.arrivals)
    if starts_known:
        target.restart(COLD_S)
    else:
        target.cold_until, target.down = trio.current_time() + COLD_S, False
    target.arrivals.clear()
    await trio.sleep(COLD_S + 2.0)
    assert arrived > 0
    assert 0 < target.count_most_within_second() <= ALLOWED
    assert sum(at > target.cold_until for at in target.arrivals) > ALLOWED


async def test_target_that_turns_cold_without_the_store_gets_the_cold_rate(
    site: Site,
) -> None:
    (target, *_), nodes = await start_hosts(site, 4)
    site.nursery.start_soon(keep_asking, site, nodes[0])
    site.store.failing = 503
    await trio.sleep(4.0)
    assert target.checks
    target.arrivals.clear()
    target.cold_until = trio.current_time() + COLD_S
    await trio.sleep(COLD_S + 1.0)
    assert 0 < target.count_most_within_second() <= ALLOWED


async def test_host_that_starts_without_the_store_is_told_of_cold_targets(
    site: Site,
) -> None:
    (target,), nodes = await start_hosts(site, 1)
    await trio.sleep(0.5)
    site.store.failing = 503
    for node in nodes:
        state = node.registry.targets[target.id]
        state.cold.assume_cold(node.now(), 20.0)
    started = await site.start_gateway("east-9")
    with trio.fail_after(2.0):
        while not started.registry.targets[target.id].cold.is_cold(started.now()):
            await trio.sleep(0.02)


async def test_health_is_not_asked_for_while_the_store_is_read(site: Site) -> None:
    (target,), _ = await start_hosts(site, 1)
    await trio.sleep(3.0)
    assert not target.checks
