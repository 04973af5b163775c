"""Targets that announce in their answers that they are draining or busy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from lycheepath.core.placement import availability
from standins.site import Site, answer_bytes, answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from lycheepath.core.addresses import Address
    from standins.site import Seen

DRAINING_HEADER = "Server-Leaving: 1"
NOT_EXECUTED_HEADER = "Not-Executed: 1"
STREAM = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.1\r\n"
    b"Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: 17\r\n\r\nid: 1\ndata: one\n\n"
)


@pytest.mark.parametrize(
    "behaviour",
    [
        answer_text(b"done", 200, DRAINING_HEADER),
        answer_text(b"oh", 500, DRAINING_HEADER),
        answer_text(b"", 503, NOT_EXECUTED_HEADER, DRAINING_HEADER),
    ],
    ids=["success", "failure", "rejected"],
)
async def test_target_that_announces_draining_gets_no_more_requests(
    site: Site, behaviour: object
) -> None:
    draining = await site.add_target("books", behaviour)
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    await site.ask(node, b"GET", "/books/1")
    staying = await site.add_target("books", answer_text(b"done"))
    with trio.fail_after(5.0):
        while staying.id not in node.registry.targets:
            await trio.sleep(0.02)
    requests_before = len(draining.seen)
    for number in range(10):
        answer = await site.ask(node, b"GET", "/books/1", request_id=f"r{number}")
        assert (answer.status, answer.body) == (200, b"done")
    assert len(draining.seen) == requests_before
    # An announcement in the store doesn't cancel what the target said in its answer.
    site.announce(draining, seq=9)
    await trio.sleep(1.2)
    assert (await site.ask(node, b"GET", "/books/1", request_id="late")).status == 200
    assert len(draining.seen) == requests_before


async def test_stream_of_a_draining_target_is_forwarded_completely(site: Site) -> None:
    target = await site.add_target("books", answer_bytes(STREAM))
    site.configure(make_route("books", "streaming"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == b"id: 1\ndata: one\n\n"
    refused = await site.ask(node, b"POST", "/books/1", b"x", "r2")
    assert refused.status == 503
    assert b"1 leaving" in refused.body
    assert len(target.seen) == 1


async def test_target_restarted_under_its_id_gets_requests_again(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done", 200, DRAINING_HEADER))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    assert (await site.ask(node, b"GET", "/books/1")).status == 200
    assert (await site.ask(node, b"GET", "/books/1", request_id="r2")).status == 503
    target.behaviour = answer_text(b"done")
    site.announce(target, born=1_790_000_000_000)
    with trio.fail_after(5.0):
        number = 3
        while (
            await site.ask(node, b"GET", "/books/1", request_id=f"r{number}")
        ).status != 200:
            number += 1
            await trio.sleep(0.05)


async def test_relayed_answer_shows_both_hosts_that_the_target_is_draining(
    site: Site,
) -> None:
    target = await site.add_target(
        "books", answer_text(b"done", 200, DRAINING_HEADER), "west-a"
    )
    site.configure(make_route("books", "unsafe"))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    answer = await site.ask(east, b"POST", "/books/1", b"x")
    assert answer.status == 200
    assert not [name for name in answer.headers if name.startswith("lycheepath")]
    for node in (east, west):
        assert node.registry.targets[target.id].availability.leaving, node.settings.host


async def test_busy_target_gets_no_requests_until_its_retry_after_time(
    site: Site,
) -> None:
    busy = await site.add_target(
        "books", answer_text(b"", 503, NOT_EXECUTED_HEADER, "Retry-After: 1.5")
    )
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    first = await site.ask(node, b"POST", "/books/1", b"x")
    assert first.status == 503
    started = trio.current_time()
    second = await site.ask(node, b"POST", "/books/1", b"x", "r2")
    assert second.status == 503
    assert trio.current_time() - started < 0.3
    assert 0.3 <= float(second.headers["retry-after"]) <= 1.5 * 1.5
    assert b"1 busy" in second.body
    assert len(busy.seen) == 1
    await trio.sleep(1.5)
    await site.ask(node, b"POST", "/books/1", b"x", "r3")
    assert len(busy.seen) == 2


async def test_target_busy_for_one_host_serves_the_others(site: Site) -> None:
    target = await site.add_target(
        "books", answer_text(b"", 503, NOT_EXECUTED_HEADER, "Retry-After: 5")
    )
    site.configure(make_route("books", "unsafe"))
    nodes = [await site.start_gateway(f"host-{n}") for n in range(2)]
    await wait_until_live(*nodes)
    assert (await site.ask(nodes[0], b"POST", "/books/1", b"x")).status == 503
    target.behaviour = answer_text(b"done")
    await trio.sleep(0.5)
    assert (await site.ask(nodes[0], b"POST", "/books/1", b"x", "r2")).status == 503
    assert (await site.ask(nodes[1], b"POST", "/books/1", b"x", "r3")).status == 200
    assert len(target.seen) == 2


async def test_invalid_retry_after_is_ignored_and_counted(site: Site) -> None:
    target = await site.add_target(
        "books", answer_text(b"", 503, NOT_EXECUTED_HEADER, "Retry-After: tomorrow")
    )
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    for number in range(2):
        await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
    assert len(target.seen) == 2
    text = node.metrics.render()
    assert 'answer_headers_unread_total{header="retry-after"} 2' in text


async def test_target_that_says_it_is_draining_while_its_entry_is_absent_stays_left_out(
    site: Site,
) -> None:
    entry_absent = trio.Event()

    async def answer_without_entry(seen: Seen, stream: trio.SocketStream) -> None:
        site.store.remove(f"servers/{draining.id}")
        await entry_absent.wait()
        await answer_text(b"done", 200, DRAINING_HEADER)(seen, stream)

    draining = await site.add_target("books", answer_without_entry, born=7)
    site.configure(make_route("books", "unsafe", timeout_ms=5000))
    node = await site.start_gateway("host-1")

    async def note_absence() -> None:
        while node.registry.targets.get(draining.id) is not None:
            await trio.sleep(0.02)
        entry_absent.set()

    site.nursery.start_soon(note_absence)
    headers = {"deadline-ms": "5000"}
    answer = await site.ask(node, b"POST", "/books/1", b"x", headers=headers)
    assert answer.status == 200
    site.announce(draining, born=7, seq=9)
    with trio.fail_after(5.0):
        while draining.id not in node.registry.targets:
            await trio.sleep(0.02)
    assert (await site.ask(node, b"POST", "/books/1", b"x", "r2")).status == 503
    assert len(draining.seen) == 1


async def test_host_that_a_request_is_relayed_to_leaves_out_targets_that_said_they_drain(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(availability, "PEER_REPORT_TTL_S", 0.0)
    draining = await site.add_target(
        "books", answer_text(b"done", 200, DRAINING_HEADER), "west-a", born=7
    )
    site.configure(make_route("books", "unsafe"))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    assert (await site.ask(east, b"POST", "/books/1", b"x")).status == 200
    staying = await site.add_target("books", answer_text(b"done"), "west-a")
    other = await site.start_gateway("west-2", "west-a")
    await wait_until_live(east, west, other)
    with trio.fail_after(5.0):
        while staying.id not in east.registry.targets:
            await trio.sleep(0.02)
    # The reports of peers have expired, and only the new host is asked.
    monkeypatch.setattr(
        "lycheepath.gateway.relay._pick_host",
        lambda *_: east.peers.view.find_host(other.settings.host),
    )
    assert not other.registry.targets[draining.id].availability.leaving
    for number in range(8):
        name = f"late-{number}"
        answer = await site.ask(east, b"POST", "/books/1", b"x", name)
        assert answer.status == 200
    assert len(draining.seen) == 1
    assert len(staying.seen) == 8


async def test_target_that_leaves_while_a_connection_is_opened_gets_nothing(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    targets = [await site.add_target("books", answer_text(b"done")) for _ in range(2)]
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    acquire = node.pool.acquire
    left: list[str] = []

    async def acquire_late(address: Address, *others: Any) -> Any:
        target = next(t for t in targets if t.address == str(address))
        if not left:
            left.append(target.id)
            node.registry.record_draining(target.id, node.now())
        return await acquire(address, *others)

    monkeypatch.setattr(node.pool, "acquire", acquire_late)
    assert (await site.ask(node, b"POST", "/books/1", b"x")).status == 200
    assert [target.id for target in targets if target.seen] != left
    assert sum(len(target.seen) for target in targets) == 1
