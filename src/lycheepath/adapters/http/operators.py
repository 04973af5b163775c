"""The operators' pages: status, explanations and the audit trail."""

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
    """Describe this host: what is in force, who is there, what is counted."""
    return respond_json(describe_status(node))


async def handle_explain(node: Node, request_id: str) -> Response:
    """Tell why targets were chosen or refused for a request."""
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
    """List the changes of this host's state."""
    records = node.audit.read()
    offers = [
        describe_audit_record(record)
        for record in node.configuration.audit.list_records()
    ]
    return respond_json({"records": records, "configuration": offers})
