"""
Finds the targets that hold a prompt, and so the versions that can have begun its stream.

After the end of all hosts nobody remembers which target served a request, but the target
still holds the last part of its prompt, which belongs to this request. Each target is
asked by its coordinator, and only when a stream can't be told otherwise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event, record_fault
from ..core.addresses import parse_address
from ..platform.targets import HELD_PARTS_PATH, TargetAnswerError, read_held_parts
from .calls import CallFailedError, fetch

if TYPE_CHECKING:
    from ..core.catalog.model import Instance
    from ..core.placement.registry import TargetState
    from .node import GatewayNode

# Time in seconds for which a target's list is used; the call delays the target's work.
LIST_TTL_S = 5.0
# Timeout for a target's list.
LIST_TIMEOUT_S = 0.5
# Largest list that is read.
MAX_LIST_BYTES = 2 << 20


class HeldPrompts:
    """State: the parts that the targets which this host coordinates hold."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._lists: dict[Instance, tuple[float, frozenset[str]]] = {}
        self._lock = trio.Lock()

    async def find_versions(self, service: str, part: str) -> frozenset[str]:
        """Return the versions of coordinated targets of a service that hold a part."""
        node = self._node
        targets = [
            target
            for target in node.registry.list_region_targets(
                service, node.settings.region
            )
            if node.coordination.coordinators.find(target.entry.id, node.now())
            == node.settings.host
        ]
        async with self._lock, trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(self._update, target)
        return frozenset(
            target.entry.version
            for target in targets
            if part in self._lists.get(target.entry.instance, (0.0, frozenset()))[1]
        )

    async def _update(self, target: TargetState) -> None:
        """Read a target's list unless it was read just before."""
        node = self._node
        now = node.now()
        read_at, known = self._lists.get(
            target.entry.instance, (float("-inf"), frozenset())
        )
        if now - read_at < LIST_TTL_S:
            return
        try:
            address = parse_address(target.entry.address)
            answer = await fetch(
                node, address, HELD_PARTS_PATH, LIST_TIMEOUT_S, MAX_LIST_BYTES
            )
            if answer.status != 200:
                raise CallFailedError(f"status {answer.status}")
            parts = read_held_parts(answer.body)
        except (CallFailedError, TargetAnswerError) as error:
            record_fault("prompts-unread", subject=target.entry.id, reason=str(error))
            # A target that fails isn't asked again at once either.
            parts = known
        else:
            node.metrics.count("prompt_lists_total")
            record_event("prompts-read", subject=target.entry.id, parts=len(parts))
        self._lists = {k: v for k, v in self._lists.items() if now - v[0] < LIST_TTL_S}
        self._lists[target.entry.instance] = now, parts
