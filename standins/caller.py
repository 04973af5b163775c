"""
A caller that checks every token of its answers.

It never retries by itself, and classifies each answer by ``Kind``::

    caller = Caller(client, key)
    outcome = await caller.ask(address, build_messages("hello"), max_tokens=32)
    assert outcome.kind is Kind.WHOLE, outcome
"""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import httpx

from .tokens import generate_tokens

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .tokens import Message

TIMEOUT = httpx.Timeout(30.0)
MODEL = "m"
DONE = "[DONE]"


class Kind(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ENDED = "ended with an error"
    BROKEN = "connection broken"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    The result of one request for its caller; times in seconds.

    ``address`` is the host that was called and ``request_id`` the id that it
    assigned. ``run`` is the member of the problem document: ``run``, ``not-run`` or
    ``unknown``.
    """

    kind: Kind
    address: str = ""
    request_id: str = ""
    status: int = 0
    run: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    tokens: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    detail: str = ""
    body: Any = None


@dataclass(slots=True)
class _StreamProgress:
    """The progress of one streamed answer."""

    address: str
    expected: str
    request_id: str = ""
    started: float = field(default_factory=time.perf_counter)
    text: str = ""
    first_token_s: float = 0.0
    error: Any = None
    finished: bool = False
    done: bool = False

    def apply_event(self, data: str) -> None:
        """Apply the data of one event."""
        if data == DONE:
            self.done = True
            return
        chunk = json.loads(data)
        if "error" in chunk or "run" in chunk:
            self.error = chunk
            return
        self.request_id = chunk["id"]
        for choice in chunk["choices"]:
            self._apply_choice(choice)

    def build_outcome(self, detail: str = "") -> Outcome:
        """Return the outcome of an answer that has ended."""
        return Outcome(
            self._kind(detail),
            self.address,
            self.request_id,
            status=200,
            tokens=len(self.text.split()),
            first_token_s=self.first_token_s,
            total_s=time.perf_counter() - self.started,
            detail=detail or self._explain(),
        )

    def _apply_choice(self, choice: Any) -> None:
        content = choice["delta"].get("content") or ""
        if content and not self.text:
            self.first_token_s = time.perf_counter() - self.started
        self.text += content
        self.finished = self.finished or choice["finish_reason"] is not None

    def _kind(self, broken: str) -> Kind:
        if not self.expected.startswith(self.text):
            return Kind.WRONG
        if self.error is not None:
            return Kind.ENDED
        if self.done and self.finished and self.text == self.expected:
            return Kind.WHOLE
        return Kind.BROKEN if broken else Kind.WRONG

    def _explain(self) -> str:
        if self.error is not None:
            return json.dumps(self.error)
        if self.expected.startswith(self.text):
            return ""
        return f"unexpected text {self.text[-40:]!r}"


@dataclass(slots=True)
class Caller:
    """A client of the gateway with one API key."""

    client: httpx.AsyncClient
    key: str = ""

    async def ask(
        self,
        address: str,
        messages: list[Message],
        *,
        model: str = MODEL,
        max_tokens: int = 16,
        stream: bool = True,
        headers: Mapping[str, str] | None = None,
    ) -> Outcome:
        """Send a chat to the host (or engine) at ``address``; check the answer."""
        body = {"model": model, "messages": messages, "max_tokens": max_tokens}
        expected = "".join(generate_tokens(model, messages, 0, max_tokens))
        url = f"http://{address}/v1/chat/completions"
        all_headers = {**self._authorization(), **(headers or {})}
        if stream:
            request = self.client.build_request(
                "POST",
                url,
                json={**body, "stream": True},
                headers=all_headers,
                timeout=TIMEOUT,
            )
            return await self._read_stream(request, expected)
        outcome = await self._send("POST", url, json=body, headers=all_headers)
        return _classify_completion(outcome, expected)

    async def find_hosts(self, address: str) -> list[dict[str, Any]]:
        """Return the hosts that the host at ``address`` lists for this caller."""
        response = await self.client.get(
            f"http://{address}/v1/host", headers=self._authorization(), timeout=TIMEOUT
        )
        response.raise_for_status()
        hosts: list[dict[str, Any]] = response.json()["hosts"]
        return hosts

    async def take_ticket(self, address: str, service: str) -> Outcome:
        """Request a ticket; on success ``body["ticket"]`` holds it."""
        return await self._send(
            "POST",
            f"http://{address}/v1/tickets",
            json={"service": service},
            headers=self._authorization(),
        )

    async def call_service(
        self,
        address: str,
        service: str,
        path: str,
        *,
        method: str = "POST",
        ticket: str = "",
        idempotency_key: str = "",
        action: str = "",
        json: Any = None,
    ) -> Outcome:
        """
        Call a plain service through a host.

        ``action`` is the name under which the service counts executions.
        """
        named = {
            "Lycheepath-Ticket": ticket,
            "Idempotency-Key": idempotency_key,
            "X-Action": action,
        }
        headers = {name: value for name, value in named.items() if value}
        return await self._send(
            method,
            f"http://{address}/v1/services/{service}/{path.lstrip('/')}",
            json=json,
            headers={**self._authorization(), **headers},
        )

    async def _send(
        self, method: str, url: str, *, json: Any, headers: Mapping[str, str]
    ) -> Outcome:
        started = time.perf_counter()
        try:
            response = await self.client.request(
                method, url, json=json, headers=headers, timeout=TIMEOUT
            )
        except httpx.HTTPError as error:
            return Outcome(Kind.BROKEN, read_address(url), detail=repr(error))
        return _classify_response(response, time.perf_counter() - started)

    async def _read_stream(self, request: httpx.Request, expected: str) -> Outcome:
        progress = _StreamProgress(read_address(str(request.url)), expected)
        try:
            response = await self.client.send(request, stream=True)
        except httpx.HTTPError as error:
            return progress.build_outcome(repr(error))
        try:
            if response.status_code != httpx.codes.OK:
                await response.aread()
                elapsed_s = time.perf_counter() - progress.started
                return _classify_response(response, elapsed_s)
            async for line in response.aiter_lines():
                if line.startswith("data:"):
                    progress.apply_event(line.removeprefix("data:").strip())
        except httpx.HTTPError as error:
            return progress.build_outcome(repr(error))
        finally:
            await response.aclose()
        return progress.build_outcome()

    def _authorization(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}"} if self.key else {}


def read_address(url: str) -> str:
    """Return the ``IP:port`` of a URL."""
    return urlsplit(url).netloc


def build_messages(text: str, system: str = "") -> list[Message]:
    """Return a chat of an optional system prompt and one question."""
    question: Message = {"role": "user", "content": text}
    if not system:
        return [question]
    return [{"role": "system", "content": system}, question]


def _classify_response(response: httpx.Response, total_s: float) -> Outcome:
    try:
        body = response.json()
    except ValueError:
        body = response.text
    address = read_address(str(response.url))
    if response.is_success:
        return Outcome(
            Kind.WHOLE,
            address,
            status=response.status_code,
            total_s=total_s,
            body=body,
        )
    problem = body if isinstance(body, dict) else {}
    run = str(problem.get("run", ""))
    return Outcome(
        _classify_problem(run),
        address,
        status=response.status_code,
        run=run,
        reason=str(problem.get("reason", "")),
        retry_after_s=float(response.headers.get("Retry-After", 0)),
        total_s=total_s,
        detail=response.text[:200],
        body=body,
    )


def _classify_problem(run: str) -> Kind:
    """Return the kind of a problem; one without a known ``run`` is wrong."""
    kinds = {"not-run": Kind.REFUSED, "unknown": Kind.UNKNOWN, "run": Kind.ENDED}
    return kinds.get(run, Kind.WRONG)


def _classify_completion(outcome: Outcome, expected: str) -> Outcome:
    if outcome.kind is not Kind.WHOLE:
        return outcome
    choice = outcome.body["choices"][0]
    text = choice["message"]["content"]
    complete = text == expected and choice["finish_reason"] is not None
    return replace(
        outcome,
        kind=Kind.WHOLE if complete else Kind.WRONG,
        request_id=outcome.body["id"],
        tokens=len(text.split()),
        detail="" if complete else f"unexpected text {text[-40:]!r}",
    )
