"""Serves one chat completion: admission, choice of targets, resumption."""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import orjson
import trio

from ..core.limits.queue import QueuedRequest
from ..core.outcomes import RequestFailedError, Run
from ..core.quarantine.arbiter import TRIAL_RETRY_S
from ..core.quarantine.containment import QuarantineStatus
from ..core.reasons import Absent, Reason
from ..core.residency import Subject, assert_resident, bound_region
from ..core.retries.budget import open_budget
from ..core.retries.decision import decide_retry
from ..core.routing.choice import Choice
from ..core.routing.reports import FailureKind
from ..core.routing.request import RoutedRequest, hash_prefix
from ..core.streams.assembly import AnswerStream, Complete
from ..core.streams.chunks import read_chunk
from ..ports.targets import EngineRequest, TargetFailureError
from .admission import admit_request
from .ends import fail_at_end
from .explanations import Explanation
from .quarantine import (
    Suspect,
    check_admission,
    handle_broken_answer,
    identify_suspect,
    release_lease,
    request_target_lease,
    request_trial,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ..core.chat import ChatRequest
    from ..core.clients import Client
    from ..core.environment.model import Environment, Target
    from ..core.retries.budget import RequestBudget
    from ..core.streams.assembly import Token
    from ..core.streams.chunks import Chunk
    from .node import Node

DEFAULT_PRIORITY = 5
MAX_TRIAL_WAIT_S = 15.0
DONE_PAYLOAD = b"[DONE]"
RETRY_AFTER_S = 1.0
OVERLOADED_STATUSES = (429, 503)


class BrokenAnswerError(Exception):
    """A target sent a malformed chunk or one that does not fit the sequence."""


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """
    Tokens that arrived together.

    ``finish_reason`` is set only in the last batch of a complete answer;
    ``usage`` is as the target reported it.
    """

    tokens: tuple[Token, ...]
    finish_reason: str = ""
    usage: dict[str, Any] | None = None


@dataclass(slots=True)
class _AnswerState:
    """The state of one answer: the request, its tokens and the last failure."""

    chat: ChatRequest
    team: str
    routed: RoutedRequest
    suspect: Suspect
    stream: AnswerStream
    budget: RequestBudget
    attempts: int = 0
    attempted_targets: frozenset[str] = frozenset()
    sent: bool = False
    on_trial: bool = False
    failure: str = ""

    def fail(self, absent: Absent) -> RequestFailedError:
        """Return the error that ends this answer."""
        run = Run.UNKNOWN if self.sent else Run.NOT_RUN
        return RequestFailedError(absent, run)


async def answer_chat(
    node: Node, chat: ChatRequest, client: Client, request_id: str, timeout_s: float
) -> AsyncGenerator[TokenBatch, None]:
    """
    Yield the tokens of the answer in the batches in which they arrive.

    Raises ``RequestFailedError`` if the answer can't be completed. Closing the
    iterator cancels the request at the target.
    """
    environment = node.environment
    if environment is None:
        raise RequestFailedError(Absent(Reason.VIEW_TOO_OLD, 1.0), Run.NOT_RUN)
    routed = _build_request(
        node, environment, chat, client, request_id, node.now() + timeout_s
    )
    cost_tokens = routed.prompt_tokens + chat.max_tokens
    admission = await admit_request(node, client, cost_tokens, DEFAULT_PRIORITY)
    answer = _AnswerState(
        chat,
        client.team,
        replace(routed, priority=admission.priority),
        identify_suspect(node, chat, routed.bound_region),
        AnswerStream(),
        open_budget(routed.deadline).spend(),
    )
    try:
        async with aclosing(_run_attempts(node, answer)) as batches:
            while (batch := await _await_batch(node, answer, batches)) is not None:
                yield batch
    finally:
        spent = routed.prompt_tokens + answer.stream.tokens
        if answer.on_trial:
            subject = answer.suspect.fingerprint.hex()
            node.spawn(release_lease, node, subject, request_id)
        node.limiter.settle(admission, spent if answer.sent else 0, node.now())


async def _await_batch(
    node: Node, answer: _AnswerState, batches: AsyncGenerator[TokenBatch, None]
) -> TokenBatch | None:
    """Return the next tokens, None at the end; raises if this host ends before."""
    with fail_at_end(node, lambda: answer.attempts > 0):
        return await anext(batches, None)


def _build_request(
    node: Node,
    environment: Environment,
    chat: ChatRequest,
    client: Client,
    request_id: str,
    deadline: float,
) -> RoutedRequest:
    bound = bound_region(environment, Subject(client.team, chat.model))
    assert_resident(bound, node.settings.region, "serving")
    return RoutedRequest(
        id=request_id,
        model=chat.model,
        prefix_blocks=hash_prefix(chat.model, chat.messages),
        prompt_tokens=chat.prompt_tokens(),
        max_tokens=chat.max_tokens,
        priority=DEFAULT_PRIORITY,
        deadline=deadline,
        home_region=client.region,
        bound_region=bound,
    )


async def _run_attempts(
    node: Node, answer: _AnswerState
) -> AsyncGenerator[TokenBatch, None]:
    while True:
        choice, trial = await _choose_target(node, answer)
        async with aclosing(_attempt(node, answer, choice, trial)) as batches:
            async for batch in batches:
                yield batch
        if isinstance(answer.stream.outcome, Complete):
            node.retry_budget.earn()
            return
        answer.attempted_targets |= {choice.target}
        await _wait_to_retry(node, answer, choice)


async def _choose_target(node: Node, answer: _AnswerState) -> tuple[Choice, bool]:
    """Return the target and whether the request runs there as a quarantine trial."""
    waited_until = node.now() + MAX_TRIAL_WAIT_S
    while True:
        status = check_admission(node, answer.suspect)
        if isinstance(status, Absent):
            raise answer.fail(status)
        choice = await _reserve_by_status(node, answer, status)
        if isinstance(choice, Choice):
            if check_admission(node, answer.suspect) is status:
                return choice, status is QuarantineStatus.SUSPECT
            _release_target(node, answer)
            continue
        if choice.reason is not Reason.IN_PROGRESS or node.now() > waited_until:
            raise answer.fail(choice)
        await trio.sleep(max(TRIAL_RETRY_S, min(choice.retry_after_s, RETRY_AFTER_S)))


async def _reserve_by_status(
    node: Node, answer: _AnswerState, status: QuarantineStatus
) -> Choice | Absent:
    if status is QuarantineStatus.CLEAR:
        return await _choose(node, answer)
    answer.on_trial = True
    return await _choose_for_trial(node, answer)


async def _choose(node: Node, answer: _AnswerState) -> Choice:
    """Reserve the best target, waiting in the queue while all are full."""
    choice = _reserve_target(node, answer)
    if isinstance(choice, Absent) and choice.reason is Reason.OVERLOADED:
        now = node.now()
        routed = answer.routed
        queued = QueuedRequest(
            routed.id,
            answer.team,
            node.router.estimate_cost(routed),
            routed.priority,
            routed.deadline,
            now,
        )
        choice = await node.queue.wait(
            queued,
            partial(_reserve_target, node, answer),
            partial(_release_target, node, answer),
        )
    node.explanations.add(Explanation.of_choice(answer.routed, choice))
    if isinstance(choice, Absent):
        raise answer.fail(choice)
    return choice


def _reserve_target(node: Node, answer: _AnswerState) -> Choice | Absent:
    """Choose a target and count the request as in flight there."""
    choice = node.router.choose(answer.routed, node.now(), answer.attempted_targets)
    if isinstance(choice, Choice):
        node.router.record_send(answer.routed, choice, node.now())
    return choice


def _release_target(node: Node, answer: _AnswerState) -> None:
    node.router.registry.record_failure(
        answer.routed.id, FailureKind.CANCELLED, node.now()
    )


async def _choose_for_trial(node: Node, answer: _AnswerState) -> Choice | Absent:
    """Reserve a target that runs no other suspect, for a suspected request."""
    absent = await request_trial(node, answer.suspect, answer.routed.id)
    if absent is not None:
        return absent
    barred = node.containment.find_death_targets(answer.suspect.fingerprint)
    busy: frozenset[str] = frozenset()
    while True:
        excluded = answer.attempted_targets | barred | busy
        choice = node.router.choose(answer.routed, node.now(), excluded)
        if isinstance(choice, Absent) and barred and not busy:
            barred = frozenset()
            continue
        if isinstance(choice, Absent):
            return choice if absent is None else absent
        absent = await request_target_lease(node, choice.target, answer.routed.id)
        if absent is None:
            node.router.record_send(answer.routed, choice, node.now())
            return choice
        busy |= {choice.target}


async def _wait_to_retry(node: Node, answer: _AnswerState, choice: Choice) -> None:
    """
    Wait until the next attempt may be made, or raise if there is none.

    If the target died, the next attempt is a trial, of which each target runs one
    at a time. That limits these retries, so they don't take from the host's budget.
    """
    deaths = node.containment.find_death_targets(answer.suspect.fingerprint)
    retry = decide_retry(
        answer.budget,
        None if choice.target in deaths else node.retry_budget,
        True,
        choice.first_token_s,
        node.now(),
        node.random,
    )
    if isinstance(retry, Absent):
        detail = f"{answer.failure}; {retry.detail}"
        raise answer.fail(
            Absent(retry.reason, max(retry.retry_after_s, RETRY_AFTER_S), detail)
        )
    node.metrics.count("retries_total")
    if answer.stream.tokens:
        node.metrics.count("resumes_total")
    answer.budget = retry.budget
    await trio.sleep(retry.after_s)


async def _attempt(
    node: Node, answer: _AnswerState, choice: Choice, trial: bool
) -> AsyncGenerator[TokenBatch, None]:
    """Yield the tokens of one attempt; retryable failures are recorded, not raised."""
    target = node.targets[choice.target]
    suspect = answer.suspect
    request_id = answer.routed.id
    node.containment.record_send(
        request_id, suspect.fingerprint, suspect.scope, target.id, trial
    )
    failure: FailureKind | None = FailureKind.CANCELLED
    try:
        async with aclosing(_read_tokens(node, answer, target)) as batches:
            async for batch in batches:
                yield batch
        failure = None
    except TargetFailureError as error:
        answer.sent = answer.sent or error.sent
        failure = _classify_failure(error)
        _record_failure(node, answer, target, failure, str(error))
        if failure is FailureKind.DIED:
            await handle_broken_answer(node, target, request_id)
        if 400 <= error.status < 500 and failure is FailureKind.ERROR:
            raise answer.fail(
                Absent(Reason.REFUSED_BY_TARGET, detail=str(error))
            ) from error
    except BrokenAnswerError as error:
        failure = FailureKind.WRONG_ANSWER
        _record_failure(node, answer, target, failure, str(error))
    finally:
        _record_end(node, answer, failure)
        if trial:
            node.spawn(release_lease, node, target.id, request_id)


def _record_end(node: Node, answer: _AnswerState, failure: FailureKind | None) -> None:
    request_id = answer.routed.id
    node.containment.record_end(request_id)
    if failure is None:
        node.router.registry.record_completion(
            request_id, node.now(), answer.stream.tokens
        )
    else:
        node.router.registry.record_failure(request_id, failure, node.now())
    node.queue.serve(node.now())


async def _read_tokens(
    node: Node, answer: _AnswerState, target: Target
) -> AsyncGenerator[TokenBatch, None]:
    answer.attempts += 1
    attempt_id = f"{answer.routed.id}-{answer.attempts}"
    point = answer.stream.start_attempt(attempt_id)
    request = EngineRequest(
        attempt_id,
        answer.chat.body,
        answer.routed.priority,
        point.text,
        point.tokens,
    )
    assert_resident(answer.routed.bound_region, node.region_of(target), "sending")
    async with node.engines.stream(target.address, request) as events:
        answer.sent = True
        async for payloads in events:
            batch = _accept_payloads(answer.stream, payloads)
            if not batch.tokens and not batch.finish_reason:
                continue
            _record_progress(node, answer, target, len(batch.tokens))
            yield batch
            if batch.finish_reason:
                return
            if node.now() > answer.routed.deadline:
                raise answer.fail(Absent(Reason.DEADLINE, RETRY_AFTER_S))
    raise TargetFailureError("the answer stopped before its end", sent=True)


def _accept_payloads(stream: AnswerStream, payloads: list[bytes]) -> TokenBatch:
    tokens: list[Token] = []
    usage: dict[str, Any] | None = None
    for payload in payloads:
        if payload == DONE_PAYLOAD:
            continue
        value = _parse_chunk(payload)
        chunk = read_chunk(value)
        if chunk is None:
            raise BrokenAnswerError("a chunk is malformed")
        accepted = stream.accept(_number_chunk(stream, chunk))
        if accepted.broken:
            raise BrokenAnswerError(f"a chunk is wrong: {accepted.fault}")
        tokens.extend(accepted.tokens)
        usage = value.get("usage") or usage
    finish_reason = ""
    if isinstance(stream.outcome, Complete):
        finish_reason = stream.outcome.finish_reason
    return TokenBatch(tuple(tokens), finish_reason, usage)


def _parse_chunk(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise BrokenAnswerError("a chunk is not JSON") from error


def _number_chunk(stream: AnswerStream, chunk: Chunk) -> Chunk:
    """Number a token by arrival if the engine does not number it."""
    if chunk.sequence is not None or not chunk.text:
        return chunk
    return replace(chunk, sequence=stream.tokens)


def _record_progress(
    node: Node, answer: _AnswerState, target: Target, tokens: int
) -> None:
    request_id = answer.routed.id
    node.router.registry.record_first_token(request_id, node.now())
    for _ in range(tokens):
        if node.containment.record_token(request_id):
            node.spawn(release_lease, node, target.id, request_id)


def _classify_failure(error: TargetFailureError) -> FailureKind:
    if not error.sent:
        return FailureKind.REFUSED
    if error.status in OVERLOADED_STATUSES:
        return FailureKind.OVERLOADED
    if error.status:
        return FailureKind.ERROR
    return FailureKind.TIMEOUT if error.timed_out else FailureKind.DIED


def _record_failure(
    node: Node, answer: _AnswerState, target: Target, kind: FailureKind, detail: str
) -> None:
    answer.failure = f"{target.id}: {detail}"
    node.metrics.count("target_failures_total", target=target.id, kind=kind.value)
