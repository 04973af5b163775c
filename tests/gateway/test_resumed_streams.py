"""
Streams that break off and are continued by the next target's answer, whatever it is.

What isn't the rest of the stream must not show in the caller's answer, and the answer
must not look complete without its rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from standins.site import Answer, Seen, Site, answer_bytes, answer_text, make_route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Behaviour = Callable[[Seen, trio.SocketStream], Awaitable[None]]

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
WITHIN_S = 3.0


def answer_stream(
    body: bytes, framing: bytes | None = None, head: bytes = STREAM_HEAD
) -> Any:
    """Return a behaviour that sends a stream, by default with its length."""
    if framing is None:
        framing = b"Content-Length: %d\r\n\r\n" % len(body)
    return answer_bytes(head + framing + body, close=framing == b"\r\n")


def answer_first(behaviour: Behaviour) -> Behaviour:
    """Return a behaviour that breaks off streams that begin, and continues others."""
    broken = answer_bytes(
        STREAM_HEAD + CHUNKED + b"%x\r\n" % len(EVENTS) + EVENTS + b"\r\n", close=True
    )

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        await (behaviour if "last-event-id" in seen.headers else broken)(seen, stream)

    return behave


async def continue_stream(
    site: Site, behaviour: Behaviour, zone: str = "east-a"
) -> Answer:
    """Return a caller's answer that broke off after EVENTS and was continued."""
    target = None
    for at in ("east-a", zone):
        target = await site.add_target("books", answer_first(behaviour), at)
    route = make_route(
        "books", "streaming", resumable=True, gap_aim_ms=400, timeout_ms=900
    )
    site.configure(route)
    node = await site.start_gateway("host-1")
    if zone != "east-a":
        await site.start_gateway("host-2", zone)
        with trio.fail_after(WITHIN_S):
            while not any(row.ready for row in node.peers.view.live_hosts(node.now())):
                await trio.sleep(0.02)
    assert target is not None
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    continued = [
        seen
        for target in site.targets
        for seen in target.seen
        if "last-event-id" in seen.headers
    ]
    assert [seen.headers["last-event-id"] for seen in continued] == ["2"]
    return answer


FAILURES = {
    "500": answer_text(b"error\n\n", 500, "Response-Signature: s"),
    "404": answer_text(b"error\n\n", 404),
    "400": answer_text(b"error\n\n", 400, "Not-Executed: 1"),
    "raw text": answer_bytes(b"error\n\nerror\n\n", close=True),
    "unframed failure": answer_stream(
        b"error\n\n", b"\r\n", b"HTTP/1.1 500 X\r\nRequest-Id: {id}\r\n"
    ),
    "unfinished text": answer_stream(
        b"error\n", None, STREAM_HEAD.replace(b"event-stream", b"plain")
    ),
}
# Signed answers of success that aren't the rest of the stream.
WRONG_SUCCESSES = {
    "204": answer_bytes(STREAM_HEAD.replace(b"200", b"204") + b"\r\n"),
    "text": answer_stream(
        b"error\n\n", None, STREAM_HEAD.replace(b"event-stream", b"plain")
    ),
    "events of another type": answer_stream(
        b"id: 3\ndata: error\n\n", None, STREAM_HEAD.replace(b"event-stream", b"plain")
    ),
    "event without an id": answer_stream(b"data: error\n\n"),
    "event of another status": answer_stream(
        b"id: 3\ndata: error\n\n", None, STREAM_HEAD.replace(b"200", b"206")
    ),
}
# Successes without an event that don't show that the stream was complete.
UNPROVEN_ENDS = {
    "unframed": answer_stream(b"", b"\r\n"),
    "no id": answer_stream(
        b"", None, STREAM_HEAD.replace(b"Request-Id: {id}\r\n", b"")
    ),
    "replay that ends early": answer_stream(
        b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", CHUNKED
    ),
}


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
@pytest.mark.parametrize("case", FAILURES)
async def test_stream_that_is_continued_by_a_failure_is_cut(
    site: Site, case: str, zone: str
) -> None:
    answer = await continue_stream(site, FAILURES[case], zone)
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS, False)


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
@pytest.mark.parametrize("case", WRONG_SUCCESSES)
async def test_success_that_is_no_rest_of_a_stream_is_not_joined_to_it(
    site: Site, case: str, zone: str
) -> None:
    answer = await continue_stream(site, WRONG_SUCCESSES[case], zone)
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS, False)


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
@pytest.mark.parametrize("case", UNPROVEN_ENDS)
async def test_stream_that_is_continued_without_an_event_does_not_look_complete(
    site: Site, case: str, zone: str
) -> None:
    answer = await continue_stream(site, UNPROVEN_ENDS[case], zone)
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS, False)


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
@pytest.mark.parametrize(
    "rest",
    [
        answer_stream(b""),
        answer_stream(b"0\r\n\r\n", CHUNKED),
        answer_stream(b": nothing is left\n\n"),
    ],
    ids=["length", "chunks", "comment"],
)
async def test_stream_that_broke_off_after_its_last_event_is_completed(
    site: Site, rest: Behaviour, zone: str
) -> None:
    answer = await continue_stream(site, rest, zone)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.startswith(EVENTS)


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
async def test_stream_that_broke_off_after_its_last_event_is_completed_by_a_replay(
    site: Site, zone: str
) -> None:
    answer = await continue_stream(site, answer_stream(EVENTS), zone)
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS, True)


async def test_event_without_an_id_is_passed_on_after_the_stream_has_gone_on(
    site: Site,
) -> None:
    rest = b": on\n\nid: 3\ndata: c\n\ndata: end\n\n"
    answer = await continue_stream(site, answer_stream(rest))
    assert (answer.body, answer.whole) == (EVENTS + rest, True)


async def take_up(site: Site, behaviour: Behaviour) -> Answer:
    """Return the answer to a caller that takes up a stream that broke off."""
    await site.add_target("books", answer_first(behaviour))
    route = make_route(
        "books", "streaming", resumable=True, gap_aim_ms=400, max_attempts=1
    )
    site.configure(route)
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x", "r1")
    assert (answer.body, answer.whole) == (EVENTS, False)
    headers = {"last-event-id": "2", "resumes": "r1"}
    answer = await site.ask(node, b"POST", "/books/1", b"x", "r2", headers)
    assert len(site.targets[0].seen) == 2
    return answer


async def test_take_up_without_an_event_or_a_length_does_not_look_complete(
    site: Site,
) -> None:
    answer = await take_up(site, answer_stream(b"", b"\r\n"))
    assert (answer.status, answer.whole) != (200, True)


async def test_take_up_that_replays_events_before_it_is_answered(site: Site) -> None:
    rest = b"id: 3\ndata: c\n\n"
    answer = await take_up(site, answer_stream(EVENTS + rest))
    assert (answer.status, answer.body, answer.whole) == (200, rest, True)


async def test_stream_is_continued_by_an_answer_that_makes_another_length(
    site: Site,
) -> None:
    first = answer_bytes(
        STREAM_HEAD + b"Content-Length: 45\r\n\r\n" + EVENTS, close=True
    )
    rest = b": again\n\nid: 3\ndata: c\n\n"

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        behaviour = answer_stream(rest) if "last-event-id" in seen.headers else first
        await behaviour(seen, stream)

    for _ in range(2):
        await site.add_target("books", behave)
    site.configure(make_route("books", "streaming", resumable=True, gap_aim_ms=400))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.body, answer.whole) == (200, EVENTS + rest, True)


async def test_stream_of_events_without_ids_is_not_begun_again(site: Site) -> None:
    event = b"data: a\n\n"
    broken = answer_stream(b"9\r\n" + event + b"\r\n", CHUNKED)

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        await broken(seen, stream)
        await stream.aclose()

    for _ in range(2):
        await site.add_target("books", behave)
    site.configure(make_route("books", "streaming", resumable=True, gap_aim_ms=400))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.body, answer.whole) == (200, event, False)
