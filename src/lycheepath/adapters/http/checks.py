"""
The checks of a request's headers: keys, signatures, residency, draining.
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ...core.outcomes import Run
from ...core.residency import Subject, possible_regions
from .gate import ARRIVED_KEY, CLIENT_KEY, FORWARD_KEY, OPEN_PATHS, operator_allowed
from .problems import Problem
from .signatures import PASSED_HEADER, PEER_HEADER, verify_request

if TYPE_CHECKING:
    from ...core.clients import Client
    from ...host.node import Node
    from .gate import RequestHead

SERVICES_PREFIX = "/v1/services/"
HOST_QUESTION_PATH = "/v1/host"
RETRY_UNREADY_S = 1.0
RETRY_DRAINING_S = 1.0


def check_head(node: Node, head: RequestHead, scope: dict[str, Any]) -> Problem | None:
    """Return why the request is refused, or None where its body may be read."""
    problem = _check(node, head, scope)
    return None if problem is None else weaken_for_claim(problem, head.headers)


def weaken_for_claim(problem: Problem, headers: Any) -> Problem:
    """
    Say "unknown" in place of "not run" for a request with a key or a ticket.

    Only the owner of the claim knows whether an earlier copy was run.
    """
    if problem.run is not Run.NOT_RUN:
        return problem
    if "idempotency-key" not in headers and "lycheepath-ticket" not in headers:
        return problem
    return replace(problem, run=Run.UNKNOWN)


def _check(node: Node, head: RequestHead, scope: dict[str, Any]) -> Problem | None:
    if head.path in OPEN_PATHS:
        return None
    scope[ARRIVED_KEY] = node.now()
    if head.path.startswith("/operator/"):
        return _check_operator(node, head)
    problem = _check_forward(node, head, scope)
    if problem is not None:
        return problem
    if head.path.startswith("/peer/"):
        return _check_peer(scope)
    return _check_caller(node, head, scope)


def _check_operator(node: Node, head: RequestHead) -> Problem | None:
    if operator_allowed(head, node.settings.operator_key_sha256):
        return None
    return Problem(401, "operator-key", Run.NOT_RUN, "Send the operators' key.")


def _check_forward(
    node: Node, head: RequestHead, scope: dict[str, Any]
) -> Problem | None:
    if PEER_HEADER not in head.headers and PASSED_HEADER not in head.headers:
        return None
    forward = verify_request(head, node.settings.peer_keys, time.time())
    if forward is None:
        return Problem(
            403, "peer-signature", Run.NOT_RUN, "The peer's signature is not valid."
        )
    if len(forward.passed) > 1 or node.settings.host in forward.passed:
        node.metrics.count("loops_refused_total")
        return Problem(
            508,
            "already-forwarded",
            Run.NOT_RUN,
            f"The request has passed {', '.join(forward.passed)}.",
        )
    scope[FORWARD_KEY] = forward
    return None


def _check_peer(scope: dict[str, Any]) -> Problem | None:
    if FORWARD_KEY in scope:
        return None
    return Problem(401, "peer-signature", Run.NOT_RUN, "Only peers may ask this.")


def _check_caller(
    node: Node, head: RequestHead, scope: dict[str, Any]
) -> Problem | None:
    if not node.configured:
        return Problem(
            503,
            "not-ready",
            Run.NOT_RUN,
            "This host has no configuration yet.",
            RETRY_UNREADY_S,
        )
    client = node.directory.authenticate(head.bearer())
    if client is None:
        return Problem(
            401,
            "no-valid-key",
            Run.NOT_RUN,
            "Send your API key as 'Authorization: Bearer KEY'.",
        )
    scope[CLIENT_KEY] = client
    if head.path == HOST_QUESTION_PATH:
        return None
    return _check_draining(node, scope) or _check_residency(node, head, client)


def _check_draining(node: Node, scope: dict[str, Any]) -> Problem | None:
    """Refuse new work of a leaving host, but not answers to what it still owns."""
    if not node.draining or FORWARD_KEY in scope:
        return None
    return Problem(
        503,
        "draining",
        Run.NOT_RUN,
        f"This host is leaving; ask GET {HOST_QUESTION_PATH} for others.",
        RETRY_DRAINING_S,
        {"hosts": _other_hosts(node)},
    )


def _other_hosts(node: Node) -> list[dict[str, str]]:
    region = frozenset({node.settings.region})
    others = _hosts_in(node, region)
    return [host for host in others if host["id"] != node.settings.host]


def _check_residency(node: Node, head: RequestHead, client: Client) -> Problem | None:
    assert node.environment is not None
    subject = Subject(
        client.team,
        head.headers.get("lycheepath-model", ""),
        _service_of(head.path),
    )
    elsewhere = possible_regions(node.environment, subject) - {node.settings.region}
    if not elsewhere:
        return None
    return Problem(
        421,
        "residency",
        Run.NOT_RUN,
        "This request may have to stay in another region. Ask a host there, or "
        "name the model in the header Lycheepath-Model.",
        members={"regions": sorted(elsewhere), "hosts": _hosts_in(node, elsewhere)},
    )


def _service_of(path: str) -> str:
    if not path.startswith(SERVICES_PREFIX):
        return ""
    return path[len(SERVICES_PREFIX) :].partition("/")[0]


def _hosts_in(node: Node, regions: frozenset[str]) -> list[dict[str, str]]:
    assert node.environment is not None
    return [
        {"id": host.id, "address": host.callers_address, "region": region}
        for host in node.environment.hosts
        if (region := node.region_of(host)) in regions
    ]
