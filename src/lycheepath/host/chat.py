"""
Serves one chat completion: picks targets, streams, resumes after a failure.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.environment.model import TargetKind
from ..core.outcomes import RequestFailedError, Run
from ..core.reasons import Absent, Reason
from ..core.residency import Subject, assert_resident, bound_region
from ..core.tokens import BrokenAnswerError, TokenStream
from ..ports.targets import EngineRequest, TargetFailureError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..adapters.http.signatures import Forward
    from ..core.chat import ChatRequest
    from ..core.clients import Client
    from ..core.environment.model import Target
    from ..core.tokens import Token
    from .node import Node

MOST_ATTEMPTS = 3


async def answer_chat(
    node: Node,
    chat: ChatRequest,
    client: Client,
    forward: Forward | None,
    request_id: str,
) -> AsyncIterator[list[Token]]:
    """
    Yield the tokens of the answer in the batches in which they arrive.

    Raises ``RequestFailedError`` where the answer can't be made whole.
    """
    environment = node.environment
    if environment is None:
        raise RequestFailedError(Absent(Reason.VIEW_TOO_OLD, 1.0), Run.NOT_RUN)
    bound = bound_region(environment, Subject(client.team, chat.model))
    stream = TokenStream(request_id)
    tried: set[str] = set()
    for _ in range(MOST_ATTEMPTS):
        target = _choose(
            node, chat, bound, tried, Run.UNKNOWN if tried else Run.NOT_RUN
        )
        tried.add(target.id)
        assert_resident(bound, node.region_of(target), "sending")
        request = EngineRequest(
            request_id, chat.body, 5, stream.resume_text(), len(stream.texts)
        )
        try:
            async with node.engines.stream(target.address, request) as events:
                async for payloads in events:
                    accepted = stream.accept(payloads)
                    if accepted:
                        yield accepted
                    if stream.whole:
                        return
        except (TargetFailureError, BrokenAnswerError) as error:
            node.metrics.count("target_failures_total", target=target.id)
            node.record("target-failed", target.id, "", repr(error))
    raise RequestFailedError(Absent(Reason.RETRIES_SPENT, 1.0), Run.UNKNOWN)


def _choose(
    node: Node, chat: ChatRequest, bound: str | None, tried: set[str], run: Run
) -> Target:
    environment = node.environment
    assert environment is not None
    candidates = [
        target
        for target in environment.targets
        if target.kind is TargetKind.RUNNER
        and chat.model in target.models
        and target.id not in tried
        and (bound is None or node.region_of(target) == bound)
    ]
    if not candidates:
        raise RequestFailedError(Absent(Reason.NO_TARGET, 1.0), run)
    return node.random.choice(candidates)
