from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import orjson
import trio
from loguru import logger

from lycheepath.core.catalog.freshness import EAGER_PERIOD_S, READERS_PER_REGION
from lycheepath.core.fleet.view import MIN_LOCAL_TIMEOUT_S
from lycheepath.core.placement.draining import DRAIN_NOTICE_S
from lycheepath.core.serving.attempts import AttemptResult
from lycheepath.gateway.process import QUIESCENCE_S, drain
from standins.site import (
    HOST,
    Site,
    answer_text,
    make_route,
    read_answer,
)

if TYPE_CHECKING:
    import pytest

    from lycheepath.gateway.node import GatewayNode

WITHIN_S = 5.0


async def wait_until_live(*nodes: GatewayNode) -> None:
    """Wait until each host has received that all others are ready."""
    with trio.fail_after(WITHIN_S):
        while not all(
            sum(row.ready for row in node.peers.view.live_hosts(node.now()))
            == len(nodes) - 1
            for node in nodes
        ):
            await trio.sleep(0.02)


async def test_hosts_are_not_taken_for_gone_after_this_process_was_held_up(
    site: Site,
) -> None:
    site.configure(make_route("books"))
    nodes = [await site.start_gateway(f"host-{n}") for n in range(3)]
    await wait_until_live(*nodes)
    silent: list[Any] = []
    sink = logger.add(
        silent.append, filter=lambda record: record["message"] == "host-silent"
    )
    for _ in range(3):
        await trio.sleep(0.3)
        time.sleep(MIN_LOCAL_TIMEOUT_S + 0.1)
    await trio.sleep(0.3)
    logger.remove(sink)
    assert not silent


async def resolve(node: GatewayNode, region: str) -> list[str]:
    address = node.settings.directory
    path = f"/lycheepath/resolve?name={HOST}&region={region}&zone={region}-a"
    async with await trio.open_tcp_stream(address.ip, address.port) as stream:
        await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await read_answer(stream)
    found = orjson.loads(answer.body)
    assert 0 < found["ttl_s"] <= 5
    return list(found["addresses"])


async def test_directory_returns_the_ready_hosts_of_the_callers_region(
    site: Site,
) -> None:
    site.configure(make_route("books"))
    east = [await site.start_gateway(f"east-{n}") for n in range(2)]
    west = await site.start_gateway("west-0", "west-a")
    await wait_until_live(*east, west)
    names = {str(node.settings.callers) for node in east}
    for node in (*east, west):
        assert set(await resolve(node, "east")) == names
        assert await resolve(node, "west") == [str(west.settings.callers)]


async def test_directory_omits_a_draining_host_and_is_never_empty(
    site: Site,
) -> None:
    site.configure(make_route("books"))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(2)]
    await wait_until_live(*nodes)
    nodes[0].shutting_down = True
    with trio.fail_after(1.0):
        while await resolve(nodes[1], "east") != [str(nodes[1].settings.callers)]:
            await trio.sleep(0.02)
    nodes[1].shutting_down = True
    assert await resolve(nodes[1], "east")


async def test_request_is_served_by_another_region(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe", home_regions=["west"]))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    answer = await site.ask(nodes[0], b"POST", "/books/1", b"x", headers={"x-own": "1"})
    assert (answer.status, answer.body) == (200, b"done")
    seen = target.seen[0]
    assert seen.headers["x-own"] == "1"
    assert seen.headers["request-id"] == "r1"
    assert not [name for name in seen.headers if name.startswith("lycheepath")]
    assert not [name for name in answer.headers if name.startswith("lycheepath")]


async def test_request_is_not_relayed_outside_its_home_regions(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe", home_regions=["east"]))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    assert (await site.ask(nodes[0], b"POST", "/books/1", b"x")).status == 503
    assert not target.seen


async def test_relayed_request_that_breaks_off_is_not_repeated(site: Site) -> None:
    async def reset(seen: object, stream: trio.SocketStream) -> None:
        stream.socket.close()

    targets = [await site.add_target("books", reset, "west-a") for _ in range(2)]
    site.configure(make_route("books", "unsafe"))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    answer = await site.ask(nodes[0], b"POST", "/books/1", b"x")
    assert answer.status == 502
    assert sum(len(target.seen) for target in targets) == 1


async def test_relayed_request_that_did_not_run_is_reported_as_not_run(
    site: Site,
) -> None:
    busy = answer_text(b"", 503, "Not-Executed: 1")
    await site.add_target("books", busy, "west-a")
    site.configure(make_route("books", "unsafe"))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    answer = await site.ask(nodes[0], b"POST", "/books/1", b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert nodes[0].metrics.counter(
        "sends_failed_total", result=AttemptResult.NOT_RUN.value
    )


async def test_target_of_another_region_is_freed_when_the_caller_disconnects(
    site: Site,
) -> None:
    async def stay_silent(seen: object, stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    target = await site.add_target("books", stay_silent, "west-a")
    site.configure(make_route("books", "unsafe"))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    with trio.move_on_after(0.3):
        await site.ask(nodes[0], b"POST", "/books/1", b"x")
    assert target.seen
    with trio.fail_after(0.5):
        while any(node.active_requests for node in nodes):
            await trio.sleep(0.01)


async def test_draining_host_answers_current_requests_and_is_not_ready(
    site: Site,
) -> None:
    async def answer_slowly(seen: object, stream: trio.SocketStream) -> None:
        await trio.sleep(0.5)
        await answer_text(b"done")(seen, stream)

    await site.add_target("books", answer_slowly)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    answers = []

    async def ask() -> None:
        answers.append(await site.ask(node, b"POST", "/books/1", b"x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.1)
        nursery.start_soon(drain, node)
        await trio.sleep(0.05)
        assert not node.ready
        late = await site.ask(node, b"POST", "/books/1", b"x", "r2")
        assert late.body == b"done"
        assert late.headers["connection"] == "close"
    assert answers[0].body == b"done"
    assert node.active_requests == 0


async def test_catalog_is_kept_while_the_store_is_unavailable(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("east")
    site.store.failing = 503
    await trio.sleep(1.5)
    assert (await site.ask(node, b"GET", "/books/1")).status == 200
    site.store.compact()
    site.store.put(f"servers/{target.id}", b"not json")
    site.store.put("op/config", {"version": "none"})
    site.store.failing = 0
    with trio.fail_after(WITHIN_S):
        while node.catalog.revision < site.store.revision:
            await trio.sleep(0.02)
    assert node.catalog.version == site.version


async def test_new_configuration_of_the_operator_takes_effect(site: Site) -> None:
    old = await site.add_target("books", answer_text(b"old"))
    new = await site.add_target("pages", answer_text(b"new"))
    site.configure(make_route("books"))
    node = await site.start_gateway("east")
    assert (await site.ask(node, b"GET", "/books/1")).body == b"old"
    site.configure(make_route("pages"), make_route("pages", prefix="/new/"))
    with trio.fail_after(2.0):
        while node.catalog.version != site.version:
            await trio.sleep(0.02)
    assert (await site.ask(node, b"GET", "/books/1")).body == b"new"
    assert (await site.ask(node, b"GET", "/new/1")).body == b"new"
    assert len(old.seen) == 1
    assert len(new.seen) == 2


async def test_metrics_show_what_the_host_did(site: Site) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("east")
    await site.ask(node, b"GET", "/books/1")
    await site.ask(node, b"GET", "/other")
    address = node.settings.metrics
    async with await trio.open_tcp_stream(address.ip, address.port) as stream:
        await stream.send_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await read_answer(stream)).body.decode()
    for line in (
        'lycheepath_requests_total{outcome="answered"} 1',
        'lycheepath_refusals_total{status="404"} 1',
        "lycheepath_ready 1",
        "lycheepath_request_ms_count 1",
        "lycheepath_targets_known 1",
    ):
        assert line in text


async def test_host_that_cannot_read_the_store_copies_from_a_peer(site: Site) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    first = await site.start_gateway("east-0")
    second = await site.start_gateway("east-1", store="127.0.0.1:1")
    assert (await site.ask(second, b"GET", "/books/1")).body == b"done"
    site.configure(make_route("books"), make_route("books", prefix="/new/"))
    with trio.fail_after(WITHIN_S):
        while second.catalog.version != site.version:
            await trio.sleep(0.02)
    assert (await site.ask(second, b"GET", "/new/1")).body == b"done"
    assert second.metrics.counter("store_failures_total")
    assert not first.metrics.counter("store_failures_total")


async def test_connection_to_a_draining_host_is_not_kept(site: Site) -> None:
    await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe"))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    west = nodes[1].settings.ip

    def idle_connections() -> list[str]:
        return [address.ip for address in nodes[0].pool._idle if address.ip == west]

    assert (await site.ask(nodes[0], b"POST", "/books/1", b"x")).status == 200
    assert idle_connections()
    nodes[1].shutting_down = True
    assert (await site.ask(nodes[0], b"POST", "/books/1", b"x")).status == 200
    assert not any(
        nodes[0].pool._idle.get(address)
        for address in nodes[0].pool._idle
        if address.ip == west
    )


async def test_interrupted_store_read_leaves_copies_for_peers_complete(
    site: Site,
) -> None:
    for _ in range(3):
        await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    site.store.page_items = 2
    first = await site.start_gateway("east-0")
    assert len(first.catalog.targets) == 3
    site.store.fail_later_pages = True
    site.announce(site.targets[0], seq=2)
    site.store.compact()
    with trio.fail_after(WITHIN_S):
        while not first.metrics.counter("store_failures_total"):
            await trio.sleep(0.02)
    second = await site.start_gateway("east-1", store="127.0.0.1:1")
    assert len(second.catalog.targets) == 3


async def test_few_hosts_read_the_store_and_all_follow_it(site: Site) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(6)]
    await wait_until_live(*nodes)
    await trio.sleep(EAGER_PERIOD_S)

    def calls() -> list[int]:
        return [node.metrics.counter("store_calls_total") for node in nodes]

    before = calls()
    second = await site.add_target("books", answer_text(b"done"))
    with trio.fail_after(2.0):
        while not all(second.id in node.catalog.targets for node in nodes):
            await trio.sleep(0.02)
    for count in range(2, 6):
        site.announce(second, seq=count)
        await trio.sleep(0.5)
    growth = [after - previous for after, previous in zip(calls(), before, strict=True)]
    assert sum(1 for count in growth if count) <= READERS_PER_REGION
    site.configure(make_route("books"), make_route("books", prefix="/new/"))
    with trio.fail_after(2.0):
        while not all(node.catalog.version == site.version for node in nodes):
            await trio.sleep(0.02)


async def test_configuration_is_read_though_later_changes_were_copied(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A copy without the configuration may advance a host past its revision."""
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(2)]
    await wait_until_live(*nodes)
    first, second = nodes
    with monkeypatch.context() as patch:
        patch.setattr(second.store._freshness, "wait_s", lambda *_: 1.0)
        patch.setattr(second.store, "apply_peer_status", lambda *_: None)
        await trio.sleep(1.0)
        site.configure(make_route("books"), make_route("books", prefix="/new/"))
        site.announce(target, seq=2, state="draining")
        with trio.fail_after(WITHIN_S):
            while first.catalog.revision < site.store.revision:
                await trio.sleep(0.02)
        await second.store._copy_from_peer(first.peers.view.local_row, False)
        assert second.catalog.targets[target.id].draining
    with trio.fail_after(2.0):
        while second.catalog.version != site.version:
            await trio.sleep(0.02)


async def test_region_without_an_open_target_is_not_tried_for_each_request(
    site: Site,
) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books"))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    # Only the host of the other region knows that the target must not be used.
    west.registry.targets[target.id].evacuated = True
    for number in range(20):
        answer = await site.ask(east, b"GET", f"/books/{number}")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    relayed = east.metrics.counter("sends_failed_total", result="not-run")
    assert 1 <= relayed <= 3


async def test_directory_returns_home_regions_while_the_callers_has_no_serving_host(
    site: Site,
) -> None:
    """During a rolling restart all hosts of a region may drain at the same time."""
    site.configure(make_route("books", home_regions=["east", "west"]))
    east = await site.start_gateway("east-0")
    west = await site.start_gateway("west-0", "west-a")
    south = await site.start_gateway("south-0", "south-a")
    await wait_until_live(east, west, south)
    assert await resolve(south, "south") == [str(south.settings.callers)]
    west.shutting_down = True
    with trio.fail_after(WITHIN_S):
        while await resolve(south, "west") != [str(east.settings.callers)]:
            await trio.sleep(0.02)
    assert await resolve(east, "west") == [str(east.settings.callers)]


async def test_draining_host_notifies_its_whole_region_at_once(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """
    Heartbeats reach three hosts at a time.

    In a region of 65 hosts they would take seconds to reach all of them.
    """
    site.configure(make_route("books"))
    nodes = [await site.start_gateway(f"host-{n}") for n in range(6)]
    await wait_until_live(*nodes)
    for node in nodes:
        monkeypatch.setattr(node.peers.view, "next_receivers", lambda now: [])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, nodes[0])
        with trio.fail_after(0.5):
            for other in nodes[1:]:
                while any(
                    row.id == "host-0"
                    for row in other.peers.view.ready_hosts(other.now())
                ):
                    await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def test_draining_host_stays_while_requests_still_arrive(site: Site) -> None:
    site.bounds = {"grace_s": 8.0}
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-0")
    stopped = trio.Event()

    async def shut_down() -> None:
        await drain(node)
        stopped.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(shut_down)
        started = trio.current_time()
        while trio.current_time() - started < DRAIN_NOTICE_S + 1.0:
            await site.ask(node, b"GET", "/books/1")
            assert not stopped.is_set()
            await trio.sleep(QUIESCENCE_S / 3)
        with trio.fail_after(QUIESCENCE_S + 1.0):
            await stopped.wait()
    assert target.seen


async def test_region_whose_hosts_all_drain_still_serves_relayed_requests(
    site: Site,
) -> None:
    site.bounds = {"grace_s": 8.0}
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe"))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, west)
        await trio.sleep(0.3)
        assert not east.peers.view.ready_hosts(east.now(), "west")
        answer = await site.ask(east, b"POST", "/books/1", b"x")
        assert (answer.status, answer.body) == (200, b"done")
        # The remaining time is too short for an answer: refused, and not run.
        west.shutdown_deadline = west.now()
        late = await site.ask(east, b"POST", "/books/1", b"x", "r2")
        assert late.status == 503
        local = await site.ask(west, b"POST", "/books/1", b"x", "r3")
        assert local.status == 503
        assert float(local.headers["retry-after"]) > 0
        nursery.cancel_scope.cancel()
    assert len(target.seen) == 1


async def test_directory_returns_the_only_home_host_while_it_restarts(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests may not be sent to another region, not even to be relayed."""
    site.configure(make_route("books", home_regions=["west"]))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    named = [str(west.settings.callers)]
    assert await resolve(east, "west") == named
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, west)
        await trio.sleep(0.3)
        assert not east.peers.view.ready_hosts(east.now(), "west")
        assert await resolve(east, "west") == named
        assert await resolve(west, "west") == named
        nursery.cancel_scope.cancel()
    monkeypatch.setattr(east.peers.view, "live_hosts", lambda now, region=None: [])
    assert await resolve(east, "west") == named
    monkeypatch.setattr("lycheepath.gateway.node.HOST_RESTART_S", -1.0)
    assert await resolve(east, "west") == [str(east.settings.callers)]
