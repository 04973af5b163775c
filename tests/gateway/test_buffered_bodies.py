"""Many large requests at once: they must not exceed the memory of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from standins.site import answer_text, make_route, write_request

if TYPE_CHECKING:
    from standins.site import Answer, Site

MEMORY_MB = 40
BODY = bytes(1 << 20)


async def test_bodies_beyond_the_memory_are_refused_and_not_run(site: Site) -> None:
    site.limits = {"memory_mb": MEMORY_MB}
    target = await site.add_target("books", answer_text(b"done"), slots=64)
    route = make_route("books", "unsafe", timeout_ms=9000, target_latency_ms=9000)
    site.configure(route, max_body_bytes=len(BODY))
    node = await site.start_gateway("east")
    room = node.buffers.limit_bytes // len(BODY)
    answers: dict[str, Answer] = {}

    async def send(name: str, body: bytes) -> None:
        answers[name] = await site.ask(node, b"POST", "/books/1", body, name)

    async def begin(number: int) -> None:
        """Announce a body, send half of it, and the rest later."""
        address = node.settings.callers
        name = f"slow-{number}"
        named = {"deadline-ms": "9000"}
        request = write_request(b"POST", "/books/1", BODY, name, named) + BODY
        async with await trio.open_tcp_stream(address.ip, address.port) as stream:
            await stream.send_all(request[: len(BODY) // 2])
            await trio.sleep(1.0)
            await stream.send_all(request[len(BODY) // 2 :])
            answer = await stream.receive_some()
            assert answer.startswith(b"HTTP/1.1 200")

    async with trio.open_nursery() as nursery:
        for number in range(room):
            nursery.start_soon(begin, number)
        await trio.sleep(0.3)
        for number in range(5):
            nursery.start_soon(send, f"late-{number}", BODY)
            nursery.start_soon(send, f"small-{number}", BODY[:60_000])
    for number in range(5):
        refused = answers[f"late-{number}"]
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0.0
        assert answers[f"small-{number}"].status == 200
    ran = {seen.headers["request-id"] for seen in target.seen}
    assert not [name for name in ran if name.startswith("late")]
    assert len(ran) == room + 5
    assert node.buffers.used_bytes == 0
    await send("again", BODY)
    assert answers["again"].status == 200
