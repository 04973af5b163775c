from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lycheepath.core.reasons import Reason
from lycheepath.core.serving.crash_evidence import MAX_ENDS
from standins.site import (
    HOST,
    Seen,
    Site,
    answer_bytes,
    answer_text,
    make_route,
    read_answer,
)

if TYPE_CHECKING:
    import pytest

SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
BUSY = answer_text(b"", 503, "Not-Executed: 1")


async def stay_silent(seen: Seen, stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def test_request_reaches_its_target_and_the_answer_is_returned(
    site: Site,
) -> None:
    target = await site.add_target("books", answer_text(b"done", 200, "X-Own: 1"))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(
        node, b"POST", "/books/1?x=2", b"body", headers={"x-extra": "y"}
    )
    assert (answer.status, answer.body, answer.whole) == (200, b"done", True)
    assert answer.headers["response-signature"] == "s.1"
    assert answer.headers["x-own"] == "1"
    seen = target.seen[0]
    assert (seen.method, seen.target, seen.body) == ("POST", "/books/1?x=2", b"body")
    assert seen.headers["x-extra"] == "y"
    assert seen.headers["expect-instance"] == target.id
    assert 0 < int(seen.headers["deadline-ms"]) <= 1500


async def test_headers_that_only_the_gateway_sets_are_dropped(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    names = ("hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "request-priority")
    forged = dict.fromkeys(names, "9")
    await site.ask(
        node, b"GET", "/books/1", headers={"expect-instance": "other", **forged}
    )
    headers = target.seen[0].headers
    assert headers["expect-instance"] == target.id
    assert not forged.keys() & headers.keys()


async def test_unknown_path_is_not_found_and_a_missing_configuration_is_retryable(
    site: Site,
) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    assert (await site.ask(node, b"GET", "/other")).status == 404
    node.catalog.routes = None
    answer = await site.ask(node, b"GET", "/books/1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_safe_request_is_retried_when_an_answer_breaks_off(
    site: Site,
) -> None:
    broken = answer_bytes(SIGNED + b"Content-Length: 9\r\n\r\nha", close=True)
    targets = [await site.add_target("books", broken)]
    targets.append(await site.add_target("books", answer_text(b"done")))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    node.random.seed(1)
    for number in range(12):
        answer = await site.ask(node, b"GET", "/books/1", request_id=f"r{number}")
        assert (answer.status, answer.body) == (200, b"done")
    assert targets[0].seen


async def test_unsafe_request_runs_once_when_its_answer_breaks_off(site: Site) -> None:
    broken = answer_bytes(SIGNED + b"Content-Length: 9\r\n\r\nha", close=True)
    targets = [await site.add_target("books", broken) for _ in range(2)]
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"pay")
    assert answer.status == 502
    assert sum(len(target.seen) for target in targets) == 1


async def test_unsafe_request_is_retried_elsewhere_when_it_has_not_run(
    site: Site,
) -> None:
    busy = await site.add_target("books", BUSY)
    free = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    node.random.seed(1)
    for number in range(12):
        answer = await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
        assert (answer.status, answer.body) == (200, b"done")
    assert busy.seen
    assert len(free.seen) == 12


async def test_request_that_no_target_runs_is_refused_as_not_run(site: Site) -> None:
    await site.add_target("books", BUSY)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert "response-signature" not in answer.headers


async def test_failure_of_a_target_is_forwarded_unchanged(site: Site) -> None:
    failure = answer_text(b"oh", 500, "Response-Signature: s.9")
    await site.add_target("books", failure)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.body) == (500, b"oh")
    assert answer.headers["response-signature"] == "s.9"


async def test_unsigned_success_is_treated_as_a_lost_answer(site: Site) -> None:
    await site.add_target(
        "books", answer_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
    )
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    assert (await site.ask(node, b"POST", "/books/1", b"x")).status == 502


async def test_bytes_after_an_answer_are_discarded(site: Site) -> None:
    extra = (
        SIGNED
        + b"Content-Length: 2\r\n\r\nhi"
        + SIGNED
        + b"Content-Length: 3\r\n\r\nbad"
    )
    target = await site.add_target("books", answer_bytes(extra))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    for number in range(3):
        answer = await site.ask(node, b"GET", "/books/1", request_id=f"r{number}")
        assert (answer.status, answer.body) == (200, b"hi")
    assert target.connections == 3


async def test_late_answer_to_an_earlier_request_is_skipped(site: Site) -> None:
    stale = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nbad"
    matching = SIGNED + b"Content-Length: 2\r\n\r\nhi"
    await site.add_target("books", answer_bytes(stale + matching))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.body) == (200, b"hi")


async def test_answer_without_a_length_ends_with_its_connection(site: Site) -> None:
    await site.add_target("books", answer_bytes(SIGNED + b"\r\nhello", close=True))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert (answer.status, answer.body, answer.whole) == (200, b"hello", True)


async def test_request_is_answered_when_its_route_times_out(site: Site) -> None:
    await site.add_target("books", stay_silent)
    site.configure(make_route("books", "unsafe", timeout_ms=300))
    node = await site.start_gateway("host-1")
    started = trio.current_time()
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.status == 504
    assert 0.25 < trio.current_time() - started < 0.7


async def test_target_is_freed_when_the_caller_disconnects(site: Site) -> None:
    target = await site.add_target("books", stay_silent)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    with trio.move_on_after(0.2):
        await site.ask(node, b"POST", "/books/1", b"x")
    assert target.seen
    with trio.fail_after(0.5):
        while node.active_requests:
            await trio.sleep(0.01)


async def test_stream_is_resumed_at_another_target_without_duplicate_events(
    site: Site,
) -> None:
    head = SIGNED + b"Content-Type: text/event-stream\r\n\r\n"
    partial = head + b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"

    async def break_off(seen: Seen, stream: trio.SocketStream) -> None:
        await stream.send_all(
            partial.replace(b"{id}", seen.headers["request-id"].encode())
        )
        await trio.sleep(0.05)
        stream.socket.close()

    async def resume(seen: Seen, stream: trio.SocketStream) -> None:
        first = int(seen.headers.get("last-event-id", "0")) + 1
        events = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, 5))
        answer_head = head.replace(
            b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n" % len(events)
        )
        await stream.send_all(
            answer_head.replace(b"{id}", seen.headers["request-id"].encode()) + events
        )

    targets = [await site.add_target("books", b) for b in (break_off, resume)]
    site.configure(make_route("books", "streaming", resumable=True, gap_aim_ms=400))
    node = await site.start_gateway("host-1")
    node.random.seed(1)
    for number in range(12):
        answer = await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
        assert answer.whole
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert targets[0].seen


async def test_stream_that_may_run_once_does_not_look_complete_when_it_breaks(
    site: Site,
) -> None:
    partial = SIGNED + b"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
    await site.add_target("books", answer_bytes(partial, close=True))
    site.configure(make_route("books", "streaming", resumable=False))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.status == 200
    assert not answer.whole


async def test_invalid_request_is_answered_and_affects_nothing_else(
    site: Site,
) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"), max_body_bytes=100)
    node = await site.start_gateway("host-1")
    address = node.settings.callers
    cases = {
        b"\x00\x01garbage\r\n\r\n": 400,
        b"GET /books/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": 400,
        b"GET / HTTP/1.1\r\nHost: " + b"x" * 20_000 + b"\r\n\r\n": 431,
        b"POST /books/ HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n": 413,
    }
    for sent, status in cases.items():
        async with await trio.open_tcp_stream(address.ip, address.port) as stream:
            await stream.send_all(sent)
            assert (await read_answer(stream)).status == status
    assert (await site.ask(node, b"GET", "/books/1")).status == 200
    assert len(target.seen) == 1


async def test_pipelined_requests_are_answered_in_order(site: Site) -> None:
    async def echo(seen: Seen, stream: trio.SocketStream) -> None:
        await answer_text(seen.target.encode())(seen, stream)

    await site.add_target("books", echo)
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    address = node.settings.callers
    async with await trio.open_tcp_stream(address.ip, address.port) as stream:
        for number in range(3):
            head = f"GET /books/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r{number}\r\n\r\n"
            await stream.send_all(head.encode())
        data = b""
        with trio.fail_after(2):
            while data.count(b"/books/") < 3:
                data += await stream.receive_some(65_536)
    at = [data.index(b"/books/%d" % number) for number in range(3)]
    assert at == sorted(at)


async def test_request_rejected_by_another_instance_has_not_run(site: Site) -> None:
    await site.add_target("books", answer_text(b"", 421, "Instance-Id: other"))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.status == 503
    assert Reason.OVERLOADED.value not in answer.body.decode()


async def test_evacuated_and_draining_targets_get_no_requests(site: Site) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    assert (await site.ask(node, b"GET", "/books/1")).status == 200
    site.store.put("op/evacuate/east-a", {})
    with trio.fail_after(3):
        while not node.catalog.evacuated:
            await trio.sleep(0.02)
    assert (await site.ask(node, b"GET", "/books/1")).status == 503
    site.store.remove("op/evacuate/east-a")
    site.announce(target, state="draining", seq=2)
    with trio.fail_after(3):
        while node.catalog.evacuated or not node.catalog.targets[target.id].draining:
            await trio.sleep(0.02)
    assert (await site.ask(node, b"GET", "/books/1")).status == 503
    assert len(target.seen) == 1


async def test_failure_status_that_implies_not_run_is_not_forwarded(site: Site) -> None:
    ran = answer_text(b"", 503, "Response-Signature: s.9")
    await site.add_target("books", ran)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.status == 502
    assert "response-signature" not in answer.headers
    assert "retry-after" not in answer.headers


async def test_refusals_of_targets_do_not_clear_a_suspect_request(
    site: Site,
) -> None:
    breaking = [
        await site.add_target("books", answer_bytes(SIGNED, close=True))
        for _ in range(MAX_ENDS + 2)
    ]
    for _ in range(3):
        await site.add_target("books", BUSY)
    site.configure(make_route("books", "unsafe", max_attempts=9))
    node = await site.start_gateway("host-1")
    for number in range(12):
        last = await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
    assert sum(bool(target.seen) for target in breaking) == MAX_ENDS
    assert last.status == 503
    assert float(last.headers["retry-after"]) > 5.0


async def test_no_connection_is_kept_to_a_target_without_room_for_it(
    site: Site,
) -> None:
    target = await site.add_target("books", answer_text(b"done"), slots=8)
    site.configure(make_route("books"), connections=10)
    node = await site.start_gateway("host-1")
    for number in range(3):
        answer = await site.ask(node, b"GET", "/books/1", request_id=f"r{number}")
        assert answer.status == 200
    await trio.sleep(0.05)
    assert (target.connections, target.open) == (3, 0)


async def test_fault_in_the_gateway_after_a_send_is_not_reported_as_not_run(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")

    def fail(_: object) -> None:
        raise ValueError("a fault of this test")

    monkeypatch.setattr(node.containment, "record_contact", fail)
    answer = await site.ask(node, b"POST", "/books/1", b"body")
    assert len(target.seen) == 1
    assert answer.status == 502
