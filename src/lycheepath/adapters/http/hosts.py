"""The endpoint that returns the hosts which a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from quart import Response, request

from ...core.hosts.selection import hosts_for
from ...core.outcomes import RequestFailedError, Run
from ...core.reasons import Absent
from ...core.residency import Subject, bound_region
from ...host.regions import is_region_unreachable
from .gate import CLIENT_KEY
from .peers import respond_json

if TYPE_CHECKING:
    from ...host.node import Node


async def handle_host_query(node: Node) -> Response:
    """
    Return the hosts that the caller should use, best first.

    The query may name a ``model`` or a ``service``; its residency rules then
    determine the region.
    """
    environment = node.environment
    assert environment is not None
    client = cast("dict[str, Any]", request.scope)[CLIENT_KEY]
    subject = Subject(
        client.team, request.args.get("model", ""), request.args.get("service", "")
    )
    bound = bound_region(environment, subject)
    region = bound or client.region
    if bound is None and await is_region_unreachable(node, region):
        region = node.settings.region
    answer = hosts_for(
        client.team, client.id, region, environment, node.member_states()
    )
    if isinstance(answer, Absent):
        raise RequestFailedError(answer, Run.NOT_RUN)
    by_id = {host.id: host for host in environment.hosts}
    hosts = [
        {
            "id": host,
            "address": by_id[host].callers_address,
            "region": region,
            "zone": by_id[host].zone,
        }
        for host in answer.hosts
    ]
    return respond_json({"hosts": hosts, "valid_s": round(answer.valid_s, 1)})
