"""
Checks that a connection leads to the instance of a target that its entry names.

A target that restarts under its id may have another software version, and its entry shows
that a moment late. A request that has to go on at one version asks first, on its own
connection; all others are told apart by the id in the request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.upstream import BrokenAnswerError
from ..platform.targets import (
    MAX_REPORT_BYTES,
    REPORT_PATH,
    TargetAnswerError,
    read_start,
)

if TYPE_CHECKING:
    from ..adapters.http1.upstream import Upstream
    from ..core.placement.registry import TargetState
    from .attempts import Watch
    from .exchange import Exchange
    from .node import GatewayNode

# Time without a report, which needs no slot at the target, after which the target counts
# as silent.
REPORT_SILENCE_S = 0.3


async def is_expected_instance(
    node: GatewayNode,
    exchange: Exchange,
    target: TargetState,
    upstream: Upstream,
    watch: Watch,
) -> bool:
    """
    Whether a request may be sent on a connection to a target.

    Asks the target only for streams that have begun, while several versions are in
    use, and once for each connection. ``watch`` reports a target that is silent; its
    report is awaited nevertheless, until the attempt ends.
    """
    if upstream.instance_checked or not node.versions.needs_version(exchange):
        return True
    node.metrics.count("instance_checks_total")
    headers = [(b"host", str(upstream.address).encode())]
    try:
        with watch(REPORT_SILENCE_S):
            path = REPORT_PATH.encode()
            status, _ = await upstream.request(b"GET", path, headers, b"")
            body = await upstream.read_all(MAX_REPORT_BYTES)
        born_ms = read_start(body) if status == 200 else None
    except (BrokenAnswerError, TargetAnswerError) as error:
        record_event("instance-unknown", subject=target.entry.id, reason=repr(error))
        return False
    if not upstream.prepare_next():
        return False
    if born_ms is not None and target.entry.born_ms not in (0, born_ms):
        record_event("instance-restarted", subject=target.entry.id, born_ms=born_ms)
        return False
    upstream.instance_checked = True
    return True
