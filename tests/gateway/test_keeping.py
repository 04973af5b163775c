"""Hosts that ask keepers of targets, tell them, and do without silent ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from lycheepath.adapters.questions import LoadNews, encode_message
from lycheepath.core.placement.loads import PEER_LOAD_TTL_S, TargetLoad
from lycheepath.gateway.keeping import ANSWER_S
from standins.site import Seen, Site, answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    import pytest

    from lycheepath.gateway.node import GatewayNode

WITHIN_S = 2.0
DONE = answer_text(b"done")


def answer_after(event: trio.Event) -> Any:
    """Return a behaviour that answers once an event has come."""

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        await event.wait()
        await DONE(seen, stream)

    return behave


def find_keeper(nodes: list[GatewayNode], target: str) -> GatewayNode:
    """Return the node that keeps a target, on which all must agree."""
    found = {node.keeping.keepers.find(target, node.now()) for node in nodes}
    assert len(found) == 1, found
    name = found.pop()
    return next(node for node in nodes if node.settings.host == name)


async def start_nodes(site: Site, count: int) -> list[GatewayNode]:
    nodes = [await site.start_gateway(f"host-{n}") for n in range(count)]
    await wait_until_live(*nodes)
    with trio.fail_after(WITHIN_S):
        # Who keeps a target follows from who is ready, at the next beat.
        while any(len(n.keeping.keepers._hosts) < count for n in nodes):
            await trio.sleep(0.02)
    return nodes


async def test_keeper_knows_what_another_host_has_under_way(site: Site) -> None:
    answer_now = trio.Event()
    target = await site.add_target("books", answer_after(answer_now))
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, 3)
    keeper = find_keeper(nodes, target.id)
    other = next(node for node in nodes if node is not keeper)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.ask, other, b"POST", "/books/1", b"x")
        with trio.fail_after(WITHIN_S):
            while keeper.book.targets[target.id].count_in_flight(keeper.now()) != 1:
                await trio.sleep(0.01)
        answer_now.set()
    with trio.fail_after(WITHIN_S):
        while keeper.book.targets[target.id].count_in_flight(keeper.now()):
            await trio.sleep(0.01)


async def test_request_is_served_though_its_keeper_is_silent(site: Site) -> None:
    target = await site.add_target("books", DONE)
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, 2)
    keeper = find_keeper(nodes, target.id)
    other = next(node for node in nodes if node is not keeper)

    async def say_nothing(message: object) -> None:
        pass

    keeper.keeping.hear = say_nothing  # type: ignore[method-assign]
    for number in range(4):
        started = trio.current_time()
        answer = await site.ask(other, b"POST", "/books/1", b"x", f"r{number}")
        assert answer.status == 200
        assert trio.current_time() - started < 2 * ANSWER_S + 0.2
    # After two misses the host goes by what it knows itself.
    text = other.metrics.render()
    assert "keepers_silent_total 2" in text
    assert other.keeping.keepers.find(target.id, other.now()) == other.settings.host


async def test_load_that_was_lost_is_told_again(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    answer_now = trio.Event()
    target = await site.add_target("books", answer_after(answer_now))
    site.configure(make_route("books", "unsafe", timeout_ms=9000))
    nodes = await start_nodes(site, 2)
    keeper = find_keeper(nodes, target.id)
    other = next(node for node in nodes if node is not keeper)
    lost: list[bytes] = []

    async def lose(host: str, data: bytes) -> None:
        lost.append(data)

    async with trio.open_nursery() as nursery:
        with monkeypatch.context() as patch:
            patch.setattr(other.peers, "send_to", lose)
            nursery.start_soon(site.ask, other, b"POST", "/books/1", b"x")
            with trio.fail_after(WITHIN_S):
                while not target.seen:
                    await trio.sleep(0.01)
        assert lost
        with trio.fail_after(WITHIN_S):
            while keeper.book.targets[target.id].count_in_flight(keeper.now()) != 1:
                await trio.sleep(0.01)
        answer_now.set()


async def test_long_request_counts_while_its_host_is_busy_with_others(
    site: Site,
) -> None:
    answer_now = trio.Event()
    slow = await site.add_target("slow", answer_after(answer_now))
    await site.add_target("books", DONE)
    site.configure(
        make_route("slow", "unsafe", "/slow/", timeout_ms=20_000),
        make_route("books", "unsafe"),
    )
    nodes = await start_nodes(site, 2)
    keeper = find_keeper(nodes, slow.id)
    other = next(node for node in nodes if node is not keeper)
    patient = {"deadline-ms": "20000"}

    async def ask_slowly() -> None:
        await site.ask(other, b"POST", "/slow/1", b"x", "slow", patient)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_slowly)
        until = trio.current_time() + PEER_LOAD_TTL_S + 1.5
        number = 0
        while trio.current_time() < until:
            number += 1
            await site.ask(other, b"POST", "/books/1", b"x", f"r{number}")
            await trio.sleep(0.1)
        assert keeper.book.targets[slow.id].count_in_flight(keeper.now()) == 1
        answer_now.set()


async def test_load_of_a_host_that_tells_nothing_more_grows_old(site: Site) -> None:
    target = await site.add_target("books", DONE)
    site.configure(make_route("books"))
    nodes = await start_nodes(site, 2)
    load = TargetLoad(3, {0: 100}, 0.05)
    news = encode_message(LoadNews("host-gone", {target.id: load}))
    await nodes[0].peers.send_to(nodes[1].settings.host, news)
    held = nodes[1].book.targets[target.id]
    with trio.fail_after(WITHIN_S):
        while held.count_in_flight(nodes[1].now()) != 3:
            await trio.sleep(0.01)
    with trio.fail_after(PEER_LOAD_TTL_S + WITHIN_S):
        while held.count_in_flight(nodes[1].now()):
            await trio.sleep(0.05)
