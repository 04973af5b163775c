"""
Sends the orders of this host to runners.

Right before an order is sent, the runner's report and the clock are read again,
since the runner may have restarted and this process may have been paused. A
draining host sends no orders; the next candidate takes over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..core.reasons import Absent
from .loads import refresh_target

if TYPE_CHECKING:
    from ..core.orders.planning import Order
    from .node import Node

PLAN_INTERVAL_S = 1.0
ORDER_TIMEOUT_S = 2.0


async def issue_orders(node: Node) -> None:
    """Order runners towards the state of the document until cancelled."""
    while True:
        await trio.sleep(PLAN_INTERVAL_S * (0.9 + 0.2 * node.random.random()))
        if node.draining:
            continue
        async with trio.open_nursery() as nursery:
            for order in node.orders.plan(node.observed_runners, {}, node.now()):
                nursery.start_soon(_send, node, order)


async def _send(node: Node, order: Order) -> None:
    target = node.targets.get(order.runner)
    if target is None:
        return
    await refresh_target(node, target)
    observed = node.observed_runners[order.runner]
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
    node.orders.record_answer(order, status, node.now())
    outcome = "none" if status is None else str(status)
    node.metrics.count("orders_total", status=outcome)
    models = ",".join(order.models)
    node.record_change("order", "document", "", f"{order.runner}: {models} ({outcome})")
