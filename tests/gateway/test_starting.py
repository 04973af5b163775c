"""Hosts that have just started and don't know any target yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from lycheepath.core.placement.model import Placement
from lycheepath.core.serving.startup import MAX_HOLD_S, STARTUP_S
from lycheepath.gateway.node import GatewayNode
from standins.site import Answer, Seen, Site, answer_text, make_route

if TYPE_CHECKING:
    import pytest

WAITING = 12
DEADLINE = {"deadline-ms": "9000"}


async def answer_slowly(seen: Seen, stream: trio.SocketStream) -> None:
    await trio.sleep(0.3)
    await answer_text(b"done")(seen, stream)


async def test_request_waits_at_a_started_host_for_its_first_target(
    site: Site,
) -> None:
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    answers: list[Answer] = []

    async def ask() -> None:
        answers.append(
            await site.ask(node, b"POST", "/books/1", b"x", headers=DEADLINE)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        assert not answers
        target = await site.add_target("books", answer_text(b"done"))
    assert [(answer.status, answer.body) for answer in answers] == [(200, b"done")]
    assert len(target.seen) == 1


async def test_request_is_refused_when_no_target_is_announced(site: Site) -> None:
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    started = trio.current_time()
    answer = await site.ask(node, b"POST", "/books/1", b"x", headers=DEADLINE)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert trio.current_time() - started < MAX_HOLD_S + 0.3
    # A host that has been running for long refuses at once.
    node.started_at -= STARTUP_S
    started = trio.current_time()
    answer = await site.ask(node, b"POST", "/books/1", b"x", headers=DEADLINE)
    assert answer.status == 503
    assert trio.current_time() - started < 0.2


async def test_requests_that_waited_count_at_their_target_before_the_next_is_placed(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    place = GatewayNode.place
    in_flight: list[int] = []

    async def record_load(self: GatewayNode, *args: Any) -> Any:
        placed = await place(self, *args)
        if isinstance(placed, Placement):
            in_flight.append(placed.target.count_in_flight(self.now()))
        return placed

    monkeypatch.setattr(GatewayNode, "place", record_load)
    async with trio.open_nursery() as nursery:
        for number in range(WAITING):
            nursery.start_soon(
                site.ask, node, b"POST", "/books/1", b"x", f"r{number}", DEADLINE
            )
        await trio.sleep(0.3)
        await site.add_target("books", answer_slowly, slots=64)
    assert in_flight == list(range(WAITING))
