"""Sends runners the orders that this host has to issue."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..core.reasons import Absent

if TYPE_CHECKING:
    from ..core.orders.planning import Order
    from .node import Node

PLAN_INTERVAL_S = 1.0
ORDER_TIMEOUT_S = 2.0


async def issue_orders(node: Node) -> None:
    """Bring the runners of this host's share to the document's state, for ever."""
    while True:
        await trio.sleep(PLAN_INTERVAL_S * (0.9 + 0.2 * node.random.random()))
        if node.draining:
            continue
        for order in node.orders.plan(node.observed_runners, {}, node.now()):
            await _send(node, order)


async def _send(node: Node, order: Order) -> None:
    target = node.targets.get(order.runner)
    observed = node.observed_runners.get(order.runner)
    if target is None or observed is None:
        return
    checked = node.orders.recheck(order, observed, node.now())
    if isinstance(checked, Absent):
        node.metrics.count("orders_withheld_total")
        return
    message = {
        "fencing": order.fencing,
        "models": list(order.models),
        "role": order.role.value,
    }
    status = await node.engines.order(target.address, message, ORDER_TIMEOUT_S)
    node.orders.note_answer(order, status, node.now())
    outcome = "none" if status is None else str(status)
    node.metrics.count("orders_total", status=outcome)
    models = ",".join(order.models)
    node.record("order", "document", "", f"{order.runner}: {models} ({outcome})")
