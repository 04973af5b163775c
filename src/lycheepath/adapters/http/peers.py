"""The endpoints that hosts call on each other."""

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
    """Return this process's identity, revision in force and monotonic clock."""
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
    """Return what this host recently admitted for each team."""
    return respond_json(describe_use(node))


async def handle_value(node: Node, name: str) -> Response:
    """Return the text of a value in force."""
    value = node.configuration.get(name) if name in node.value_names else None
    if value is None:
        raise ProblemError(
            Problem(404, "no-such-value", Run.NOT_RUN, f"{name} is not in force here")
        )
    return respond_json(
        {
            "name": name,
            "revision": value.revision,
            "digest": value.digest,
            "text": value.text.decode(),
        }
    )


async def handle_handover(node: Node) -> Response:
    """Store the claims of a draining process until its successor requests them."""
    return await _answer(node, accept_handover)


async def handle_handover_release(node: Node) -> Response:
    """Return stored claims to the successor of the process that handed them over."""
    return await _answer(node, release_handover)


async def handle_trial(node: Node) -> Response:
    """Decide on trials of requests and targets for which this host is arbiter."""
    return await _answer(node, answer_trial_request)


async def handle_suspicion(node: Node) -> Response:
    """Apply a report about a request that is suspected of crashing targets."""
    return await _answer(node, apply_suspicion_report)


async def handle_quarantine_decision(node: Node) -> Response:
    """Apply a quarantine decision about a request."""
    return await _answer(node, apply_quarantine_decision)


async def handle_moved_claims(node: Node) -> Response:
    """Release the keys whose ownership an environment moved to the calling host."""
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
