"""
Watches the runners that this host orders, and sends what is planned.

A runner in its desired state is looked at rarely, one that is off it often.
Right before an order is sent the runner's report and the clock are read anew.
A draining host orders nothing; the next candidate takes over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from ..core.orders.desired import ObservedState, is_reached
from ..core.orders.planning import Order, OrderIssuer
from .loads import MODEL_STATES

if TYPE_CHECKING:
    from .node import Node

ROUND_S = 1.0
SETTLED_LOOK_S = 10.0
LOOK_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 2.0
MOST_LOOKS_AT_ONCE = 16


@dataclass(slots=True)
class OrderWatch:
    """What this host knows of the runners that it orders."""

    issuer: OrderIssuer
    limiter: trio.CapacityLimiter
    observed: dict[str, ObservedState] = field(default_factory=dict)
    look_at_s: dict[str, float] = field(default_factory=dict)


async def run_orders(node: Node) -> None:
    """Order this host's share of the runners, for ever."""
    issuer = OrderIssuer(node.settings.host, node.now())
    watch = OrderWatch(issuer, trio.CapacityLimiter(MOST_LOOKS_AT_ONCE))
    while True:
        if node.environment is not None and not node.draining:
            _apply_revision(node, watch)
            await _look_at_runners(node, watch)
            await _send_orders(node, watch)
        await trio.sleep(ROUND_S * (0.9 + 0.2 * node.random.random()))


def _apply_revision(node: Node, watch: OrderWatch) -> None:
    environment = node.environment
    if environment is None or environment.revision == watch.issuer.revision:
        return
    watch.issuer.apply(environment, node.now())
    watched = frozenset(watch.issuer.list_watched())
    watch.observed = {k: v for k, v in watch.observed.items() if k in watched}
    watch.look_at_s = {}


async def _look_at_runners(node: Node, watch: OrderWatch) -> None:
    now = node.now()
    async with trio.open_nursery() as nursery:
        for runner in watch.issuer.list_watched():
            if now >= watch.look_at_s.get(runner, 0.0):
                nursery.start_soon(_look, node, watch, runner)


async def _look(node: Node, watch: OrderWatch, runner: str) -> None:
    """Read a runner's report; a settled runner is left alone for a while."""
    target = node.targets.get(runner)
    if target is None:
        return
    async with watch.limiter:
        answer = await node.engines.read_load(target.address, LOOK_TIMEOUT_S)
    state = _read_state(answer, node.now())
    if state is None:
        return
    watch.observed[runner] = state
    desired = watch.issuer.get_desired(runner)
    settled = desired is not None and is_reached(desired, state)
    watch.look_at_s[runner] = node.now() + SETTLED_LOOK_S if settled else 0.0


async def _send_orders(node: Node, watch: OrderWatch) -> None:
    async with trio.open_nursery() as nursery:
        for order in watch.issuer.plan(watch.observed, {}, node.now()):
            nursery.start_soon(_send_order, node, watch, order)


async def _send_order(node: Node, watch: OrderWatch, order: Order) -> None:
    target = node.targets.get(order.runner)
    if target is None:
        return
    answer = await node.engines.read_load(target.address, LOOK_TIMEOUT_S)
    state = _read_state(answer, node.now())
    if state is None:
        return
    checked = watch.issuer.recheck(order, state, node.now())
    if not isinstance(checked, Order):
        node.metrics.count("orders_held_back_total", reason=checked.reason.value)
        return
    status = await node.engines.order(
        target.address, _build_body(checked), ORDER_TIMEOUT_S
    )
    watch.issuer.note_answer(checked, status, node.now())
    node.metrics.count("orders_sent_total", status=str(status or "none"))
    wanted = f"{', '.join(checked.models)} as {checked.role.value}"
    node.record(f"order {order.runner}", f"revision {order.fencing}", "", wanted)


def _build_body(order: Order) -> dict[str, Any]:
    return {
        "fencing": order.fencing,
        "models": list(order.models),
        "role": order.role.value,
    }


def _read_state(answer: dict[str, Any] | None, now: float) -> ObservedState | None:
    """Return a runner's state from its report; None for a malformed one."""
    if answer is None:
        return None
    try:
        return ObservedState(
            at_s=now - float(answer.get("age_ms", 0)) / 1000,
            models={
                str(model): MODEL_STATES[state]
                for model, state in answer.get("models", {}).items()
            },
            role=str(answer.get("role", "any")),
            fencing=int(answer.get("fencing", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
