"""
Serves one chat completion: admits it, picks targets, resumes after a failure.
"""

from __future__ import annotations

from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from ..core.outcomes import RequestFailedError, Run
from ..core.reasons import Absent, Reason
from ..core.residency import Subject, assert_resident, bound_region
from ..core.retries.budget import open_budget
from ..core.retries.decision import decide_retry
from ..core.routing.reports import FailureKind
from ..core.routing.request import RoutedRequest, hash_prefix
from ..core.tokens import BrokenAnswerError, TokenStream
from ..ports.targets import EngineRequest, TargetFailureError
from .admission import require_team_host
from .explanations import Explanation

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ..core.chat import ChatRequest
    from ..core.clients import Client
    from ..core.environment.model import Environment, Target
    from ..core.retries.budget import RequestBudget
    from ..core.routing.choice import Choice
    from ..core.tokens import Token
    from .node import Node

DEFAULT_PRIORITY = 5
RETRY_AFTER_S = 1.0
OVERLOADED_STATUSES = (429, 503)


@dataclass(slots=True)
class _Answer:
    """One answer in the making: what is asked, what came, what failed last."""

    chat: ChatRequest
    routed: RoutedRequest
    stream: TokenStream
    budget: RequestBudget
    tried: frozenset[str] = frozenset()
    sent: bool = False
    failure: str = ""

    def fail(self, absent: Absent) -> RequestFailedError:
        """Return the error that ends this answer."""
        run = Run.UNKNOWN if self.sent else Run.NOT_RUN
        return RequestFailedError(absent, run)


async def answer_chat(
    node: Node, chat: ChatRequest, client: Client, request_id: str, timeout_s: float
) -> AsyncGenerator[list[Token], None]:
    """
    Yield the tokens of the answer in the batches in which they arrive.

    Raises ``RequestFailedError`` where the answer can't be made whole. Closing
    the iterator cancels the work at the target.
    """
    environment = node.environment
    if environment is None:
        raise RequestFailedError(Absent(Reason.VIEW_TOO_OLD, 1.0), Run.NOT_RUN)
    routed = _build_request(
        node, environment, chat, client, request_id, node.now() + timeout_s
    )
    await require_team_host(node, client)
    admission = node.limiter.admit(
        client.team,
        routed.prompt_tokens + chat.max_tokens,
        DEFAULT_PRIORITY,
        node.now(),
    )
    if isinstance(admission, Absent):
        raise RequestFailedError(admission, Run.NOT_RUN)
    answer = _Answer(
        chat, routed, TokenStream(request_id), open_budget(routed.deadline).spend()
    )
    try:
        async with aclosing(_run_attempts(node, answer)) as batches:
            async for batch in batches:
                yield batch
    finally:
        spent = routed.prompt_tokens + len(answer.stream.texts)
        node.limiter.settle(admission, spent if answer.sent else 0, node.now())


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
    node: Node, answer: _Answer
) -> AsyncGenerator[list[Token], None]:
    while True:
        choice = node.router.choose(answer.routed, node.now(), answer.tried)
        node.explanations.add(Explanation.of_choice(answer.routed, choice))
        if isinstance(choice, Absent):
            raise answer.fail(choice)
        async with aclosing(_attempt(node, answer, choice)) as batches:
            async for batch in batches:
                yield batch
        if answer.stream.whole:
            node.retry_budget.earn()
            return
        answer.tried |= {choice.target}
        await _wait_to_retry(node, answer, choice)


async def _wait_to_retry(node: Node, answer: _Answer, choice: Choice) -> None:
    retry = decide_retry(
        answer.budget,
        node.retry_budget,
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
    if answer.stream.texts:
        node.metrics.count("resumes_total")
    answer.budget = retry.budget
    await trio.sleep(retry.after_s)


async def _attempt(
    node: Node, answer: _Answer, choice: Choice
) -> AsyncGenerator[list[Token], None]:
    """Yield the tokens that one target adds; a failure is recorded, not raised."""
    target = node.targets[choice.target]
    request_id = answer.routed.id
    node.router.start(answer.routed, choice, node.now())
    failure: FailureKind | None = FailureKind.CANCELLED
    try:
        async with aclosing(_read_tokens(node, answer, target)) as batches:
            async for batch in batches:
                yield batch
        failure = None
    except TargetFailureError as error:
        answer.sent = answer.sent or error.sent
        failure = _classify(error)
        _note_failure(node, answer, target, failure, str(error))
        if 400 <= error.status < 500 and failure is FailureKind.ERROR:
            raise answer.fail(
                Absent(Reason.REFUSED_BY_TARGET, detail=str(error))
            ) from error
    except BrokenAnswerError as error:
        failure = FailureKind.WRONG_ANSWER
        _note_failure(node, answer, target, failure, str(error))
    finally:
        if failure is None:
            generated = len(answer.stream.texts)
            node.router.book.finished(request_id, node.now(), generated)
        else:
            node.router.book.failed(request_id, failure, node.now())


async def _read_tokens(
    node: Node, answer: _Answer, target: Target
) -> AsyncGenerator[list[Token], None]:
    stream = answer.stream
    request = EngineRequest(
        answer.routed.id,
        answer.chat.body,
        answer.routed.priority,
        stream.resume_text(),
        len(stream.texts),
    )
    assert_resident(answer.routed.bound_region, node.region_of(target), "sending")
    async with node.engines.stream(target.address, request) as events:
        answer.sent = True
        async for payloads in events:
            accepted = stream.accept(payloads)
            if not accepted:
                continue
            node.router.book.first_token(answer.routed.id, node.now())
            yield accepted
            if stream.whole:
                return
            if node.now() > answer.routed.deadline:
                raise answer.fail(Absent(Reason.DEADLINE, RETRY_AFTER_S))
    raise TargetFailureError("the answer stopped before its end", sent=True)


def _classify(error: TargetFailureError) -> FailureKind:
    if not error.sent:
        return FailureKind.REFUSED
    if error.status in OVERLOADED_STATUSES:
        return FailureKind.OVERLOADED
    if error.status:
        return FailureKind.ERROR
    return FailureKind.TIMEOUT if error.timed_out else FailureKind.DIED


def _note_failure(
    node: Node, answer: _Answer, target: Target, kind: FailureKind, detail: str
) -> None:
    answer.failure = f"{target.id}: {detail}"
    node.metrics.count("target_failures_total", target=target.id, kind=kind.value)
