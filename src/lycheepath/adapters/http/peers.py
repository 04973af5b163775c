"""The pages that hosts ask of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from quart import Response, request

from ...core.outcomes import Run
from ...host.admission import describe_use
from ...host.handover import accept_handover, release_handover, release_moved_claims
from ...host.quarantine import (
    answer_trial_request,
    apply_quarantine_decision,
    apply_suspicion_report,
)
from .answers import ProblemError
from .problems import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...host.node import Node


async def handle_state(node: Node) -> Response:
    """Say who this process is, what it has in force and what its clock shows."""
    environment = node.environment
    return respond_json(
        {
            "host": node.settings.host,
            "incarnation": node.owner.incarnation,
            "revision": -1 if environment is None else environment.revision,
            "established": node.attestation.established,
            "draining": node.draining,
            "clock": node.now(),
        }
    )


async def handle_use(node: Node) -> Response:
    """Say what this host lately admitted for each team."""
    return respond_json(describe_use(node))


async def handle_value(node: Node, name: str) -> Response:
    """Give the text of a value in force to a peer."""
    held = node.configuration.get(name) if name in node.value_names else None
    if held is None:
        raise ProblemError(
            Problem(404, "no-such-value", Run.NOT_RUN, f"{name} is not in force here")
        )
    return respond_json(
        {
            "name": name,
            "revision": held.revision,
            "digest": held.digest,
            "text": held.text.decode(),
        }
    )


async def handle_handover(node: Node) -> Response:
    """Take a leaving process's claims into keeping."""
    return await _answer(node, accept_handover)


async def handle_handover_release(node: Node) -> Response:
    """Give claims to the process that follows the one that left them."""
    return await _answer(node, release_handover)


async def handle_trial(node: Node) -> Response:
    """Answer for the trials of requests and targets that this host arbitrates."""
    return await _answer(node, answer_trial_request)


async def handle_suspicion(node: Node) -> Response:
    """Take evidence against a request that may crash targets."""
    return await _answer(node, apply_suspicion_report)


async def handle_conviction(node: Node) -> Response:
    """Put a verdict on a request in force."""
    return await _answer(node, apply_quarantine_decision)


async def handle_moved(node: Node) -> Response:
    """Give up the keys that a document moved to the asking host."""
    return await _answer(node, release_moved_claims)


def respond_json(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(value), status, content_type="application/json")


async def _answer(
    node: Node, handle: Callable[[Node, dict[str, Any]], dict[str, Any]]
) -> Response:
    try:
        return respond_json(handle(node, orjson.loads(await request.get_data())))
    except (KeyError, TypeError, ValueError) as error:
        node.metrics.count("peer_messages_malformed_total")
        raise ProblemError(
            Problem(400, "malformed-message", Run.NOT_RUN, repr(error))
        ) from error
