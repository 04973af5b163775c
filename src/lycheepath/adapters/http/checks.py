"""
Checks a request's headers: keys, signatures, residency and draining.
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ...core.outcomes import Run
from ...core.residency import Subject, possible_regions
from .gate import (
    ARRIVED_AT_KEY,
    CLIENT_KEY,
    FORWARD_KEY,
    UNAUTHENTICATED_PATHS,
    has_operator_key,
)
from .problems import Problem
from .signatures import PASSED_HEADER, PEER_HEADER, verify_request

if TYPE_CHECKING:
    from ...core.clients import Client
    from ...host.node import Node
    from .gate import RequestHead

SERVICES_PREFIX = "/v1/services/"
HOST_QUERY_PATH = "/v1/host"
RETRY_NOT_READY_S = 1.0
RETRY_DRAINING_S = 1.0


def check_head(node: Node, head: RequestHead, scope: dict[str, Any]) -> Problem | None:
    """Return why the request is refused, or None if its body may be read."""
    problem = _check(node, head, scope)
    return None if problem is None else report_unknown_for_claim(problem, head.headers)


def report_unknown_for_claim(problem: Problem, headers: Any) -> Problem:
    """
    Replace "not run" by "unknown" if the request has a key or a ticket.

    Only the owner of the claim knows whether an earlier copy was run.
    """
    if problem.run is not Run.NOT_RUN:
        return problem
    if "idempotency-key" not in headers and "lycheepath-ticket" not in headers:
        return problem
    return replace(problem, run=Run.UNKNOWN)


def _check(node: Node, head: RequestHead, scope: dict[str, Any]) -> Problem | None:
    if head.path in UNAUTHENTICATED_PATHS:
        return None
    scope[ARRIVED_AT_KEY] = node.now()
    if head.path.startswith("/operator/"):
        return _check_operator(node, head)
    problem = _check_forward(node, head, scope)
    if problem is not None:
        return problem
    if head.path.startswith("/peer/"):
        return _check_peer(scope)
    return _check_caller(node, head, scope)


def _check_operator(node: Node, head: RequestHead) -> Problem | None:
    if has_operator_key(head, node.settings.operator_key_sha256):
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
            RETRY_NOT_READY_S,
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
    if head.path == HOST_QUERY_PATH:
        return None
    return _check_draining(node, scope) or _check_residency(node, head, client)


def _check_draining(node: Node, scope: dict[str, Any]) -> Problem | None:
    """
    Refuse new requests while this host is draining.

    Forwarded requests pass, since this host still owns their claims.
    """
    if not node.draining or FORWARD_KEY in scope:
        return None
    return Problem(
        503,
        "draining",
        Run.NOT_RUN,
        f"This host is leaving; ask GET {HOST_QUERY_PATH} for others.",
        RETRY_DRAINING_S,
        {"hosts": _list_other_hosts(node)},
    )


def _list_other_hosts(node: Node) -> list[dict[str, str]]:
    region = frozenset({node.settings.region})
    others = _list_hosts(node, region)
    return [host for host in others if host["id"] != node.settings.host]


def _check_residency(node: Node, head: RequestHead, client: Client) -> Problem | None:
    assert node.environment is not None
    subject = Subject(
        client.team,
        head.headers.get("lycheepath-model", ""),
        _read_service(head.path),
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
        members={"regions": sorted(elsewhere), "hosts": _list_hosts(node, elsewhere)},
    )


def _read_service(path: str) -> str:
    if not path.startswith(SERVICES_PREFIX):
        return ""
    return path[len(SERVICES_PREFIX) :].partition("/")[0]


def _list_hosts(node: Node, regions: frozenset[str]) -> list[dict[str, str]]:
    assert node.environment is not None
    return [
        {"id": host.id, "address": host.callers_address, "region": region}
        for host in node.environment.hosts
        if (region := node.region_of(host)) in regions
    ]
