"""
Reads the load of targets and publishes it to the hosts that use them.

Each target is polled by a few hosts of each region, chosen by hashing; the other
hosts of the region receive the report as an update. A target that reports that
it is draining receives no new requests from then on, whatever the platform's
list says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from ..core.environment.model import Role, TargetKind
from ..core.gossip.updates import TargetLoad, pack_target_draining, pack_target_load
from ..core.orders.desired import ObservedState
from ..core.routing.reports import LoadReport, ModelState

if TYPE_CHECKING:
    from ..core.environment.model import Target
    from .node import Node

POLL_INTERVAL_S = 1.0
POLL_INTERVAL_MANY_TARGETS_S = 2.0
FEW_TARGETS = 4
POLL_TIMEOUT_S = 0.8
MAX_CONCURRENT_POLLS = 16
MODEL_STATES = {state.value: state for state in ModelState}


async def poll_targets(node: Node) -> None:
    """Poll this host's share of the targets until cancelled."""
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)
    async with trio.open_nursery() as nursery:
        while True:
            polled = _list_polled_targets(node)
            for target in polled:
                nursery.start_soon(_poll_target, node, target, limiter)
            has_few = len(polled) <= FEW_TARGETS
            interval_s = POLL_INTERVAL_S if has_few else POLL_INTERVAL_MANY_TARGETS_S
            await trio.sleep(interval_s * (0.9 + 0.2 * node.random.random()))


def _list_polled_targets(node: Node) -> list[Target]:
    """Return the targets to poll: this host's share and the runners it orders."""
    polled = dict.fromkeys(
        (*node.plan_polls().polled_targets, *node.orders.list_watched())
    )
    return [node.targets[target] for target in polled if target in node.targets]


async def _poll_target(
    node: Node, target: Target, limiter: trio.CapacityLimiter
) -> None:
    async with limiter:
        await refresh_target(node, target)


async def refresh_target(node: Node, target: Target) -> None:
    """Read one target's load report now and publish it."""
    answer = await node.engines.read_load(target.address, POLL_TIMEOUT_S)
    if answer is None:
        node.metrics.count("load_polls_failed_total")
        return
    try:
        _apply_report(node, target, answer)
    except (KeyError, TypeError, ValueError):
        node.metrics.count("load_reports_malformed_total", target=target.id)


def _apply_report(node: Node, target: Target, answer: dict[str, Any]) -> None:
    now = node.now()
    draining = answer.get("state") == "leaving"
    if draining != (target.id in node.draining_targets):
        node.set_target_draining(target.id, draining, "target")
        node.publish_update(
            pack_target_draining(target.id, draining, node.next_stamp())
        )
    if target.kind is not TargetKind.RUNNER:
        return
    measured_at = now - float(answer.get("age_ms", 0)) / 1000
    kv_free_tokens = int(answer.get("kv_free_tokens", 0))
    models = {
        model: MODEL_STATES[state]
        for model, state in answer.get("models", {}).items()
        if state in MODEL_STATES
    }
    report = LoadReport(
        int(answer["running"]),
        int(answer["queued"]),
        kv_free_tokens,
        models,
        node.is_target_draining(target.id),
    )
    node.router.registry.apply_load_report(target.id, report, measured_at)
    node.observed_runners[target.id] = ObservedState(
        measured_at,
        models,
        str(answer.get("role", Role.ANY.value)),
        int(answer.get("fencing", 0)),
    )
    node.queue.serve(now)
    load = TargetLoad(target.id, report.running, report.queued, kv_free_tokens, 0)
    node.publish_update(
        pack_target_load(load, node.next_stamp()), node.plan_polls().recipients
    )
