"""Real gateways and a store that comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from standins.site import answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.site import Site

HOSTS = 3
# The time within which what the operator writes has to be in force.
DEADLINE_S = 4.0


async def start_hosts(site: Site) -> list[GatewayNode]:
    """Start hosts at a store of the first era that has some revisions."""
    site.store.era = 1
    await site.add_target("books", answer_text(b"old"))
    await site.add_target("pages", answer_text(b"new"))
    site.configure(make_route("books"))
    return [await site.start_gateway(f"east-{number}") for number in range(HOSTS)]


async def wait_for_answers(site: Site, nodes: list[GatewayNode], body: bytes) -> None:
    """Wait until all hosts answer with a body."""
    with trio.fail_after(DEADLINE_S):
        for node in nodes:
            while (await site.ask(node, b"GET", "/books/1")).body != body:
                await trio.sleep(0.05)


async def wait_for_era(nodes: list[GatewayNode], era: int) -> None:
    """Wait until all hosts follow the store in an era."""
    with trio.fail_after(DEADLINE_S):
        while any(node.catalog.era != era for node in nodes):
            await trio.sleep(0.05)


async def lose_changes(site: Site) -> None:
    """Write some changes that all hosts read; restore the store as it was before."""
    copy = site.store.make_copy()
    for number in range(10):
        site.announce(site.targets[0], seq=10 + number, slots=8 + number)
    await trio.sleep(1.5)
    site.store.restore(copy)


@pytest.mark.parametrize("read_before", [True, False])
@pytest.mark.parametrize("written_after", [1, 30])
async def test_route_that_is_moved_after_a_restore_is_served_by_its_new_service(
    site: Site, read_before: bool, written_after: int
) -> None:
    """The revision may be behind that of the hosts, or have passed it unread."""
    nodes = await start_hosts(site)
    await lose_changes(site)
    if read_before:
        await trio.sleep(2.0)
    site.configure(make_route("pages"))
    for number in range(written_after):
        site.announce(site.targets[0], seq=30 + number, slots=8 + number)
    await wait_for_answers(site, nodes, b"new")
    await wait_for_era(nodes, 2)


async def test_two_restores_of_which_the_first_is_not_read(site: Site) -> None:
    nodes = await start_hosts(site)
    await lose_changes(site)
    site.store.restore(site.store.make_copy())
    site.configure(make_route("pages"))
    await wait_for_answers(site, nodes, b"new")
    await wait_for_era(nodes, 3)


async def test_host_that_starts_after_a_restore_has_the_newest_configuration(
    site: Site,
) -> None:
    """The store has an older one until the operator writes the newest again."""
    nodes = await start_hosts(site)
    copy = site.store.make_copy()
    site.configure(make_route("pages"))
    await wait_for_answers(site, nodes, b"new")
    site.store.restore(copy)
    started = await site.start_gateway("east-9")
    await wait_for_answers(site, [started], b"new")
    await trio.sleep(1.5)
    await wait_for_answers(site, [*nodes, started], b"new")
    assert {node.catalog.version for node in [*nodes, started]} == {site.version}


async def test_era_that_the_store_states_once_by_mistake_is_given_up(
    site: Site,
) -> None:
    nodes = await start_hosts(site)
    site.store.era = 10**9
    site.store.failing = 503
    await trio.sleep(1.2)
    site.store.era, site.store.failing = 1, 0
    site.configure(make_route("pages"))
    await wait_for_answers(site, nodes, b"new")
    assert all(node.catalog.era == 1 for node in nodes)


async def test_era_that_can_not_be_read_changes_nothing(site: Site) -> None:
    nodes = await start_hosts(site)
    site.store.era = "two"  # type: ignore[assignment]
    site.configure(make_route("pages"))
    await wait_for_answers(site, nodes, b"new")
    assert all(node.catalog.era == 1 for node in nodes)


async def test_homes_that_move_after_a_restore_are_kept_and_new_routes_served(
    site: Site,
) -> None:
    """Hosts went on in the former homes, and answered 404 to new routes."""
    site.store.era = 1
    east = await site.add_target("books", answer_text(b"east"))
    await site.add_target("books", answer_text(b"west"), "west-a")
    site.configure(make_route("books", home_regions=["east"]))
    nodes = [
        await site.start_gateway("east-0"),
        await site.start_gateway("east-1"),
        await site.start_gateway("west-0", "west-a"),
    ]
    await wait_until_live(*nodes)
    await wait_for_answers(site, nodes, b"east")
    await lose_changes(site)
    await trio.sleep(1.5)
    site.configure(
        make_route("books", home_regions=["west"]),
        make_route("books", prefix="/new/", home_regions=["west"]),
    )
    await trio.sleep(DEADLINE_S)
    ran = len(east.seen)
    for node in nodes:
        for path in ("/books/1", "/new/1"):
            answer = await site.ask(node, b"GET", path)
            assert (answer.status, answer.body) == (200, b"west")
    assert len(east.seen) == ran
