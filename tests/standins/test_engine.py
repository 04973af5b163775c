from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
import trio

from standins.caller import Caller, Kind, build_messages
from standins.tokens import digest_blocks, generate_tokens, split_prompt

if TYPE_CHECKING:
    from standins.fleet import Fleet

LONG_PROMPT = " ".join(f"word{number}" for number in range(64 * 10))
WAIT_LIMIT_S = 10.0


async def wait_until_running(fleet: Fleet, engine: str, running: int) -> None:
    with trio.fail_after(WAIT_LIMIT_S):
        while (await fleet.read(engine, "/v1/load"))["running"] != running:
            await trio.sleep(0.02)


async def test_engine_serves_the_same_answer_whole_and_streamed(fleet: Fleet) -> None:
    engine = await fleet.start_engine("e", "a-1", token_ms=1)
    caller = Caller(fleet.client)

    for stream in (True, False):
        outcome = await caller.ask(
            engine.address, build_messages("hello"), max_tokens=40, stream=stream
        )
        assert outcome.kind is Kind.WHOLE, outcome
        assert outcome.tokens == 40


async def test_engine_resumes_from_emitted_text_only(fleet: Fleet) -> None:
    engine = await fleet.start_engine("e", "a-1", token_ms=1)
    messages = build_messages("hello")
    text = "".join(generate_tokens("m", messages, 0, 5))
    body: dict[str, Any] = {"model": "m", "messages": messages, "max_tokens": 8}
    url = f"{engine.url}/v1/chat/completions"

    resumed = await fleet.client.post(
        url, json={**body, "resume": {"text": text, "tokens": 5}}
    )
    refused = await fleet.client.post(
        url, json={**body, "resume": {"text": text, "tokens": 4}}
    )

    content = resumed.json()["choices"][0]["message"]["content"]
    assert text + content == "".join(generate_tokens("m", messages, 0, 8))
    assert refused.status_code == httpx.codes.CONFLICT


async def test_engine_frees_the_slot_of_a_disconnected_caller(fleet: Fleet) -> None:
    await fleet.start_engine("e", "a-1", token_ms=50, report_ms=20, slots=1)
    caller = Caller(fleet.client)
    address = fleet.processes["e"].address

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: caller.ask(address, build_messages("one"), max_tokens=1000)
        )
        await wait_until_running(fleet, "e", 1)
        nursery.cancel_scope.cancel()
    await wait_until_running(fleet, "e", 0)

    seen = (await fleet.read("e", "/control/seen"))["seen"]
    assert [entry["cancelled"] for entry in seen] == [True]


async def test_engine_cancels_by_id_and_serves_the_highest_priority_next(
    fleet: Fleet,
) -> None:
    engine = await fleet.start_engine("e", "a-1", token_ms=20, report_ms=20, slots=1)
    url = f"{engine.url}/v1/chat/completions"
    ended: list[str] = []

    async def ask(name: str, priority: int, max_tokens: int) -> None:
        body = {
            "model": "m",
            "messages": build_messages(name),
            "max_tokens": max_tokens,
            "priority": priority,
        }
        await fleet.client.post(url, json=body, headers={"X-Request-Id": name})
        ended.append(name)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, "first", 5, 1000)
        await wait_until_running(fleet, "e", 1)
        for queued, (name, priority) in enumerate([("later", 9), ("urgent", 0)], 1):
            nursery.start_soon(ask, name, priority, 2)
            while (await fleet.read("e", "/v1/load"))["queued"] < queued:
                await trio.sleep(0.02)
        await fleet.client.post(f"{engine.url}/v1/cancel", json={"id": "first"})

    assert ended == ["first", "urgent", "later"]


async def test_engine_caches_prefixes_in_limited_memory(fleet: Fleet) -> None:
    engine = await fleet.start_engine(
        "e", "a-1", token_ms=1, kv_tokens=64 * 12, event_lag_ms=0, drop_event_every=0
    )
    caller = Caller(fleet.client)
    prompts = [build_messages(f"{letter} {LONG_PROMPT}") for letter in "aab"]

    cached = []
    for messages in [*prompts, prompts[0]]:
        outcome = await caller.ask(engine.address, messages, max_tokens=1, stream=False)
        cached.append(outcome.body["usage"]["cached_tokens"])

    assert cached == [0, 640, 0, 0]
    events = (await fleet.read("e", "/v1/cache-events"))["events"]
    stored = [e["prefix"] for e in events if e["kind"] == "stored"]
    assert stored[:10] == digest_blocks("m", split_prompt(prompts[0]))
    assert any(e["kind"] == "removed" for e in events)


async def test_engine_publishes_cache_events_with_gaps(fleet: Fleet) -> None:
    engine = await fleet.start_engine(
        "e", "a-1", token_ms=1, event_lag_ms=0, drop_event_every=4
    )
    messages = build_messages(LONG_PROMPT)
    await Caller(fleet.client).ask(engine.address, messages, max_tokens=1)

    events = (await fleet.read("e", "/v1/cache-events?after=2"))["events"]

    assert [e["sequence"] for e in events] == [3, 5, 6, 7, 9, 10]


async def test_engine_crashes_on_a_marked_request(fleet: Fleet) -> None:
    engine = await fleet.start_engine("e", "a-1", crash_marker="BOOM")

    outcome = await Caller(fleet.client).ask(
        engine.address, build_messages("go BOOM now")
    )

    assert outcome.kind is Kind.BROKEN
    assert await engine.wait() != 0


async def test_engine_misbehaves_as_configured(fleet: Fleet) -> None:
    engine = await fleet.start_engine("e", "a-1", token_ms=1)
    caller = Caller(fleet.client)
    seen = []
    for change in (
        {"stop_after_tokens": 3},
        {"stop_quietly": True},
        {"stop_after_tokens": None, "duplicate_token_at": 2},
    ):
        await fleet.control("e", **change)
        outcome = await caller.ask(engine.address, build_messages("hello"))
        seen.append((outcome.kind, outcome.tokens))

    assert seen == [(Kind.BROKEN, 3), (Kind.WRONG, 3), (Kind.WRONG, 17)]


async def test_engine_honours_fencing_only_when_configured(fleet: Fleet) -> None:
    await fleet.start_engine("strict", "a-1", checks_fencing=True, load_ms=0)
    await fleet.start_engine("lax", "a-1", load_ms=0)

    statuses = {}
    for name in ("strict", "lax"):
        url = f"{fleet.processes[name].url}/v1/orders"
        orders = [(7, ["m", "n"]), (6, ["m"])]
        statuses[name] = [
            (await fleet.client.post(url, json={"fencing": f, "models": m})).status_code
            for f, m in orders
        ]

    assert statuses == {"strict": [200, 409], "lax": [200, 200]}
