"""
A model engine with OpenAI's chat interface.

It batches continuously, caches prefixes in limited memory, honours
priorities, cancels and resumes, reports its load with a lag, publishes cache
events late and with gaps, and crashes on a marked request. ``--help`` lists its
options, README.md its paths.
"""

from __future__ import annotations

import os
import time
from collections import deque
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import orjson
import trio
from quart import Response, request
from quart_trio import QuartTrio

from .batching import Batch, Sequence, Speed
from .cache import PrefixCache
from .process import (
    ConnectionDroppedError,
    add_control,
    build_parser,
    drop_connection,
    json_response,
    run,
)
from .tokens import generate_tokens

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import AsyncIterator

DEFAULT_MAX_TOKENS = 16
DEFAULT_PRIORITY = 5
MAX_SEEN_ENTRIES = 100_000
EXIT_CRASHED = 70
LOADED, LOADING, ABSENT = "loaded", "loading", "absent"


@dataclass(slots=True)
class Seen:
    """The record of one request; times in seconds of the system's clock."""

    id: str
    model: str
    start: float
    resumed_at: int = 0
    end: float | None = None
    tokens: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class Engine:
    """The engine's state and its batch."""

    options: Namespace
    batch: Batch
    models: dict[str, str]
    role: str = "any"
    fencing: int = 0
    report: dict[str, Any] = field(default_factory=dict)
    reported_at: float = 0.0
    in_flight: dict[str, list[Sequence]] = field(default_factory=dict)
    seen: deque[Seen] = field(default_factory=lambda: deque(maxlen=MAX_SEEN_ENTRIES))
    control: dict[str, Any] = field(default_factory=dict)

    def apply_control(self) -> None:
        """Apply the members that ``/control`` has changed."""
        self.batch.speed.token_ms = float(self.control["token_ms"])
        self.batch.speed.prefill_tokens_per_s = float(
            self.control["prefill_tokens_per_s"]
        )
        self.batch.frozen = bool(self.control["freeze"])
        self.batch.wake()

    def take_report(self) -> None:
        """Measure the load, which is reported until the next measurement."""
        self.report = {
            "running": self.batch.running,
            "queued": len(self.batch.queue),
            "slots": self.batch.slots,
            "kv_tokens": self.batch.cache.capacity_tokens,
            "kv_free_tokens": self.batch.free_tokens,
            "models": dict(self.models),
            "role": self.role,
            "fencing": self.fencing,
        }
        self.reported_at = trio.current_time()

    async def run_reports(self) -> None:
        """Measure the load every ``--report-ms``."""
        while True:
            self.take_report()
            await trio.sleep(self.options.report_ms / 1000)


def build_engine(options: Namespace) -> Engine:
    """Return an engine configured by ``options``."""
    speed = Speed(options.token_ms, options.prefill_tokens_per_s)
    cache = PrefixCache(options.kv_tokens, options.drop_event_every)
    batch = Batch(options.slots, speed, cache)
    batch.on_start = lambda sequence: _crash_on_marker(sequence, options.crash_marker)
    models = {name: LOADED for name in options.models.split(",") if name}
    engine = Engine(options, batch, models)
    engine.control = {
        "token_ms": speed.token_ms,
        "prefill_tokens_per_s": speed.prefill_tokens_per_s,
        "fail_status": 0,
        "freeze": False,
        "state": "live",
        "stop_after_tokens": None,
        "stop_quietly": False,
        "duplicate_token_at": None,
    }
    return engine


def build_app(engine: Engine) -> QuartTrio:
    """Return the application that serves ``engine``."""
    app = QuartTrio(__name__)
    add_control(app, engine.control, engine.apply_control)
    _add_chat(app, engine)
    _add_reports(app, engine)
    _add_orders(app, engine)
    return app


def _add_chat(app: QuartTrio, engine: Engine) -> None:
    @app.post("/v1/chat/completions")
    async def complete() -> Response:
        body = await request.get_json(force=True, silent=True)
        refusal = _refuse(engine, body)
        if refusal is not None:
            return refusal
        sequence = _read_sequence(body, request.headers.get("X-Request-Id", ""))
        if not _has_valid_resume(sequence, body):
            return json_response({"error": "resume.text is not ours"}, 409)
        if body.get("stream"):
            return Response(_stream(engine, sequence), content_type="text/event-stream")
        return await _complete(engine, sequence)

    @app.post("/v1/cancel")
    async def cancel() -> Response:
        body = await request.get_json(force=True)
        sequences = engine.in_flight.get(str(body.get("id")), [])
        for sequence in list(sequences):
            engine.batch.cancel(sequence)
        return json_response({"cancelled": len(sequences)})


def _add_reports(app: QuartTrio, engine: Engine) -> None:
    @app.get("/v1/load")
    async def load() -> Response:
        age_ms = (trio.current_time() - engine.reported_at) * 1000
        state = engine.control["state"]
        return json_response(
            {**engine.report, "state": state, "age_ms": round(age_ms, 1)}
        )

    @app.get("/v1/cache-events")
    async def cache_events() -> Response:
        after = int(request.args.get("after", 0))
        until = trio.current_time() - engine.options.event_lag_ms / 1000
        events = engine.batch.cache.list_events(after, until)
        return json_response(
            {
                "events": [
                    {"sequence": e.sequence, "kind": e.kind, "prefix": e.prefix}
                    for e in events
                ]
            }
        )

    @app.get("/control/seen")
    async def seen() -> Response:
        return json_response({"seen": [asdict(entry) for entry in engine.seen]})


def _add_orders(app: QuartTrio, engine: Engine) -> None:
    @app.post("/v1/orders")
    async def order() -> Response:
        body = await request.get_json(force=True)
        fencing = int(body.get("fencing", 0))
        if engine.options.checks_fencing and fencing < engine.fencing:
            return json_response({"error": "old fencing number"}, 409)
        engine.fencing = fencing
        engine.role = str(body.get("role", engine.role))
        if "models" in body:
            requested = [str(model) for model in body["models"]]
            app.nursery.start_soon(_load_models, engine, requested)
        return json_response({"fencing": fencing})


async def _load_models(engine: Engine, requested: list[str]) -> None:
    for model in set(engine.models) - set(requested):
        engine.models[model] = ABSENT
    missing = [m for m in requested if engine.models.get(m, ABSENT) == ABSENT]
    engine.models.update(dict.fromkeys(missing, LOADING))
    await trio.sleep(engine.options.load_ms / 1000)
    for model in missing:
        if engine.models[model] == LOADING:
            engine.models[model] = LOADED


def _refuse(engine: Engine, body: Any) -> Response | None:
    if engine.control["fail_status"]:
        status = int(engine.control["fail_status"])
        return json_response({"error": "told to fail"}, status)
    if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
        return json_response({"error": "send model and messages"}, 400)
    state = engine.models.get(str(body.get("model")), ABSENT)
    if state == ABSENT:
        return json_response({"error": "no such model here"}, 404)
    if state == LOADING:
        return json_response({"error": "model is loading"}, 503, Retry_After="1")
    return None


def _read_sequence(body: dict[str, Any], request_id: str) -> Sequence:
    return Sequence(
        id=request_id,
        model=str(body["model"]),
        messages=body["messages"],
        max_tokens=int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
        priority=int(body.get("priority", DEFAULT_PRIORITY)),
        resume_at=int((body.get("resume") or {}).get("tokens", 0)),
    )


def _has_valid_resume(sequence: Sequence, body: dict[str, Any]) -> bool:
    emitted = generate_tokens(sequence.model, sequence.messages, 0, sequence.resume_at)
    text = (body.get("resume") or {}).get("text", "")
    return bool(text == "".join(emitted))


def _crash_on_marker(sequence: Sequence, marker: str) -> None:
    if marker and any(marker in str(m.get("content")) for m in sequence.messages):
        os._exit(EXIT_CRASHED)


async def _run_sequence(engine: Engine, sequence: Sequence) -> AsyncIterator[str]:
    entry = Seen(sequence.id, sequence.model, time.time(), sequence.resume_at)
    engine.seen.append(entry)
    engine.in_flight.setdefault(sequence.id, []).append(sequence)
    engine.batch.submit(sequence)
    try:
        async for token in sequence.receive:
            entry.tokens += 1
            yield token
    finally:
        _end_sequence(engine, sequence, entry)


def _end_sequence(engine: Engine, sequence: Sequence, entry: Seen) -> None:
    engine.batch.cancel(sequence)
    entry.end = time.time()
    entry.cancelled = sequence.resume_at + entry.tokens < sequence.max_tokens
    sequences = engine.in_flight[sequence.id]
    sequences.remove(sequence)
    if not sequences:
        del engine.in_flight[sequence.id]


async def _stream(engine: Engine, sequence: Sequence) -> AsyncIterator[bytes]:
    number = sequence.resume_at
    stop_after = engine.control["stop_after_tokens"]
    async for token in _run_sequence(engine, sequence):
        if number - sequence.resume_at == stop_after:
            if engine.control["stop_quietly"]:
                return
            raise ConnectionDroppedError
        chunk = _encode_chunk(sequence, token, number)
        yield chunk
        if number == engine.control["duplicate_token_at"]:
            yield chunk
        number += 1
    if number == sequence.max_tokens:
        yield _encode_last(sequence)
        yield b"data: [DONE]\n\n"


async def _complete(engine: Engine, sequence: Sequence) -> Response:
    tokens = [token async for token in _run_sequence(engine, sequence)]
    answer = orjson.dumps(
        {
            "id": sequence.id,
            "object": "chat.completion",
            "model": sequence.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(tokens)},
                    "finish_reason": "length",
                }
            ],
            "usage": _count_usage(sequence),
        }
    )
    if sequence.resume_at + len(tokens) < sequence.max_tokens:
        return json_response({"error": "cancelled"}, 499)
    if engine.control["stop_after_tokens"] is not None:
        return drop_connection(answer[: len(answer) // 2], len(answer))
    return Response(answer, content_type="application/json")


def _encode_chunk(sequence: Sequence, token: str, number: int) -> bytes:
    chunk = {
        "id": sequence.id,
        "object": "chat.completion.chunk",
        "model": sequence.model,
        "sequence": number,
        "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": None}],
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _encode_last(sequence: Sequence) -> bytes:
    chunk = {
        "id": sequence.id,
        "object": "chat.completion.chunk",
        "model": sequence.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        "usage": _count_usage(sequence),
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _count_usage(sequence: Sequence) -> dict[str, int]:
    return {
        "prompt_tokens": len(sequence.words),
        "completion_tokens": sequence.max_tokens,
        "cached_tokens": sequence.cached_tokens,
    }


def _read_options() -> Namespace:
    parser = build_parser("Model engine stand-in.")
    parser.add_argument("--models", default="m")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--token-ms", type=float, default=20.0)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=4000.0)
    parser.add_argument("--kv-tokens", type=int, default=100_000)
    parser.add_argument("--report-ms", type=float, default=200.0)
    parser.add_argument("--event-lag-ms", type=float, default=200.0)
    parser.add_argument("--drop-event-every", type=int, default=10)
    parser.add_argument("--load-ms", type=float, default=1000.0)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--crash-marker", default="")
    return parser.parse_args()


def main() -> None:
    """Run the engine stand-in."""
    options = _read_options()
    engine = build_engine(options)
    batch = engine.batch
    run(
        build_app(engine),
        options.port,
        batch.run_prefill,
        batch.run_decode,
        engine.run_reports,
    )


if __name__ == "__main__":
    main()
