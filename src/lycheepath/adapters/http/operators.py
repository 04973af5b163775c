"""The operators' endpoints: status, explanations and the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.outcomes import Run
from ...host.status import describe_audit_record, describe_status
from .answers import ProblemError
from .peers import respond_json
from .problems import Problem

if TYPE_CHECKING:
    from quart import Response

    from ...host.node import Node


async def handle_status(node: Node) -> Response:
    """Return this host's configuration in force, members and counters."""
    return respond_json(describe_status(node))


async def handle_explain(node: Node, request_id: str) -> Response:
    """Return why targets were chosen or refused for a request."""
    decisions = node.explanations.read(request_id)
    if not decisions:
        raise ProblemError(
            Problem(
                404,
                "no-such-request",
                Run.NOT_RUN,
                "This host holds no decision for that request; ask the host that "
                "served it, soon after.",
            )
        )
    return respond_json({"request": request_id, "decisions": decisions})


async def handle_audit(node: Node) -> Response:
    """Return the recorded changes of this host's state and the offers it got."""
    records = node.audit.read()
    offers = [
        describe_audit_record(record)
        for record in node.configuration.audit.list_records()
    ]
    return respond_json({"records": records, "configuration": offers})
