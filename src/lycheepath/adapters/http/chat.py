"""The chat completions endpoint: complete JSON answers and event streams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, cast

import orjson
from quart import Response, request

from ...core.chat import MalformedRequest, read_chat_request
from ...core.outcomes import RequestFailedError, Run
from ...host.chat import answer_chat
from .answers import ProblemError
from .gate import CLIENT_KEY
from .problems import Problem, problem_from_absent
from .signatures import REQUEST_ID_HEADER

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from ...core.chat import ChatRequest
    from ...host.chat import TokenBatch
    from ...host.node import Node

TIMEOUT_HEADER = "lycheepath-timeout-ms"
DEFAULT_TIMEOUT_S = 60.0
MAX_TIMEOUT_MS = 600_000
DONE_EVENT = b"data: [DONE]\n\n"


async def handle_chat(node: Node) -> Response:
    """Serve one chat completion."""
    chat = await _read_chat()
    header_model = request.headers.get("lycheepath-model")
    if header_model and header_model != chat.model:
        raise ProblemError(
            Problem(
                400,
                "model-mismatch",
                Run.NOT_RUN,
                "The header Lycheepath-Model must name the model of the body.",
            )
        )
    request_id = request.headers.get(REQUEST_ID_HEADER) or _generate_request_id(node)
    started = node.now()
    scope = cast("dict[str, Any]", request.scope)
    tokens = answer_chat(
        node,
        chat,
        scope[CLIENT_KEY],
        request_id,
        _read_timeout(),
    )
    first = await anext(tokens)
    node.metrics.record_ms("first_token_ms", (node.now() - started) * 1000)
    if chat.stream:
        return _respond_stream(tokens, first, chat.model, request_id)
    return await _respond_complete(tokens, first, chat, request_id)


async def _read_chat() -> ChatRequest:
    try:
        value = orjson.loads(await request.get_data())
    except orjson.JSONDecodeError as error:
        raise ProblemError(
            Problem(400, "malformed-json", Run.NOT_RUN, str(error))
        ) from error
    chat = read_chat_request(value)
    if isinstance(chat, MalformedRequest):
        raise ProblemError(
            Problem(400, "malformed-request", Run.NOT_RUN, chat.detail())
        )
    return chat


def _read_timeout() -> float:
    text = request.headers.get(TIMEOUT_HEADER, "")
    if not text:
        return DEFAULT_TIMEOUT_S
    if not text.isdecimal() or not 1 <= int(text) <= MAX_TIMEOUT_MS:
        raise ProblemError(
            Problem(
                400,
                "malformed-timeout",
                Run.NOT_RUN,
                f"Send {TIMEOUT_HEADER} as 1 to {MAX_TIMEOUT_MS} milliseconds.",
            )
        )
    return int(text) / 1000


def _generate_request_id(node: Node) -> str:
    return f"chatcmpl-{node.random.getrandbits(96):024x}"


def _respond_stream(
    tokens: AsyncGenerator[TokenBatch, None],
    first: TokenBatch,
    model: str,
    request_id: str,
) -> Response:
    encode = _build_encoder(model, request_id)
    response = Response(
        _write_events(tokens, first, encode), content_type="text/event-stream"
    )
    response.timeout = None
    response.headers["cache-control"] = "no-store"
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


async def _write_events(
    tokens: AsyncGenerator[TokenBatch, None],
    first: TokenBatch,
    encode: Callable[[TokenBatch], bytes],
) -> AsyncGenerator[bytes, None]:
    try:
        yield encode(first)
        async for batch in tokens:
            yield encode(batch)
    except RequestFailedError as error:
        problem = problem_from_absent(error.absent, error.run)
        yield b"event: error\ndata: " + problem.body() + b"\n\n"
        return
    finally:
        await tokens.aclose()
    yield DONE_EVENT


def _build_encoder(model: str, request_id: str) -> Callable[[TokenBatch], bytes]:
    """Return a function that encodes a batch of tokens as server-sent events."""
    head = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
    }
    prefix = b"data: " + orjson.dumps(head)[:-1]

    def encode(batch: TokenBatch) -> bytes:
        events = [
            b'%b,"choices":[{"index":0,"delta":{"content":%b},"finish_reason":null}]'
            b',"sequence":%d}\n\n' % (prefix, orjson.dumps(token.text), token.sequence)
            for token in batch.tokens
        ]
        if batch.finish_reason:
            events.append(_encode_last_event(head, batch))
        return b"".join(events)

    return encode


def _encode_last_event(head: dict[str, Any], batch: TokenBatch) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": batch.finish_reason}
    event = {**head, "choices": [choice], "usage": batch.usage}
    return b"data: " + orjson.dumps(event) + b"\n\n"


async def _respond_complete(
    tokens: AsyncGenerator[TokenBatch, None],
    first: TokenBatch,
    chat: ChatRequest,
    request_id: str,
) -> Response:
    collected = list(first.tokens)
    last = first
    async for last in tokens:
        collected.extend(last.tokens)
    body: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": chat.model,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": "".join(token.text for token in collected),
                },
                "finish_reason": last.finish_reason,
            }
        ],
        "usage": last.usage,
    }
    response = Response(orjson.dumps(body), content_type="application/json")
    response.headers[REQUEST_ID_HEADER] = request_id
    return response
