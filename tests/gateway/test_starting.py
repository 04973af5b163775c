"""Hosts that have just started, while the store doesn't tell them yet what there is."""

from __future__ import annotations

import trio

from lycheepath.core.serving.startup import MAX_HOLD_S, STARTUP_S
from standins.site import Answer, Site, answer_text, make_route

DEADLINE = {"deadline-ms": "9000"}


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


async def test_request_is_refused_when_no_target_comes(site: Site) -> None:
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    started = trio.current_time()
    answer = await site.ask(node, b"POST", "/books/1", b"x", headers=DEADLINE)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert trio.current_time() - started < MAX_HOLD_S + 0.3
    # A host that has run for long refuses at once.
    node.started_at -= STARTUP_S
    started = trio.current_time()
    answer = await site.ask(node, b"POST", "/books/1", b"x", headers=DEADLINE)
    assert answer.status == 503
    assert trio.current_time() - started < 0.2
