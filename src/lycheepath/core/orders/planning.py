"""
Planning of orders: level-triggered, with back-off, and re-checked before sending.

An order carries the complete desired state of a runner, so orders are
idempotent, also when two hosts send them. An order is planned only while the
runner reports a different state, and is checked again right before it is sent,
because the process may have been paused in between::

    for order in issuer.plan(observed, demand, now):
        checked = issuer.recheck(order, observed[order.runner], clock())
        if isinstance(checked, Order):
            status = await send(checked)
            issuer.record_answer(checked, status, clock())
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .desired import DesiredState, ObservedState, is_reached, list_desired, list_missing
from .issuers import IssuerPlan, plan_issuer
from .store import WeightStoreBudget

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ..environment.model import Environment, Role

MAX_OBSERVATION_AGE_S = 5.0
MAX_PLAN_AGE_S = 1.0
TAKEOVER_DELAY_S = 8.0
INITIAL_RESEND_DELAY_S = 5.0
MAX_RESEND_DELAY_S = 60.0
STALE_ORDER_STATUS = 409


@dataclass(frozen=True, slots=True)
class Order:
    """
    The complete desired state of one runner under one revision.

    ``fencing`` is the document's revision. That suffices as a fencing number,
    because orders of one revision are equal whichever host sends them.
    ``planned_s`` and ``observed_s`` are on the planner's clock.
    """

    runner: str
    models: tuple[str, ...]
    role: Role
    fencing: int
    load_bytes: int
    planned_s: float
    observed_s: float


@dataclass(slots=True)
class _Progress:
    """Since when a runner differs from its desired state, and when to resend."""

    differs_since_s: float
    resend_at_s: float = 0.0
    resend_delay_s: float = INITIAL_RESEND_DELAY_S


@dataclass(slots=True)
class OrderIssuer:
    """The orders of one host; ``started_s`` is the time of its start."""

    host: str
    started_s: float
    revision: int = 0
    budget: WeightStoreBudget = field(init=False)
    _plan: IssuerPlan = field(default_factory=lambda: IssuerPlan({}, 0.0))
    _desired: dict[str, DesiredState] = field(default_factory=dict)
    _load_bytes: dict[str, int] = field(default_factory=dict)
    _progress: dict[str, _Progress] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.budget = WeightStoreBudget(self.started_s)

    def apply(self, environment: Environment, now: float) -> None:
        """Apply a document that has come into force."""
        self.revision = environment.revision
        self._plan = plan_issuer(environment, self.host)
        self._desired = list_desired(environment)
        self._load_bytes = _list_load_bytes(environment)
        self._progress = {
            runner: progress
            for runner, progress in self._progress.items()
            if runner in self._plan.ranks
        }
        loads = (
            self._count_load_bytes(desired.models) for desired in self._desired.values()
        )
        largest = max(loads, default=0)
        self.budget.apply(self._plan.store_bytes_per_s, largest, now)

    def list_watched(self) -> tuple[str, ...]:
        """Return the runners whose reports this host needs."""
        return tuple(self._plan.ranks)

    def plan(
        self,
        observed: Mapping[str, ObservedState],
        demand: Mapping[str, float],
        now: float,
    ) -> tuple[Order, ...]:
        """
        Return the orders to send now, those for models in demand first.

        ``demand`` is the work waiting for each model, in any unit. It decides
        only the sequence of the orders, never the desired state of a runner.
        """
        due = [
            (runner, state)
            for runner in self._plan.ranks
            if (state := observed.get(runner)) and self._is_due(runner, state, now)
        ]
        waiting = [self._build_order(runner, state, now) for runner, state in due]
        waiting.sort(
            key=lambda order: (-self._count_demand(order, demand), order.runner)
        )
        return tuple(self._choose_affordable(waiting, now))

    def recheck(
        self, order: Order, observed: ObservedState, now: float
    ) -> Order | Absent:
        """
        Return the order if it may still be sent at ``now``, else the reason.

        Call it right before the first byte is sent, with a new reading of the
        clock and a new report of the runner.
        """
        if order.fencing != self.revision:
            return Absent(Reason.VIEW_TOO_OLD, detail="another revision is in force")
        if now - order.planned_s > MAX_PLAN_AGE_S:
            return Absent(Reason.VIEW_TOO_OLD, detail="planned too long ago")
        if now - observed.at_s > MAX_OBSERVATION_AGE_S:
            return Absent(Reason.VIEW_TOO_OLD, detail="the runner's report is too old")
        if observed.fencing > order.fencing:
            return Absent(Reason.VIEW_TOO_OLD, detail="the runner knows a later order")
        missing = list_missing(self._desired[order.runner], observed)
        if self._count_load_bytes(missing) > order.load_bytes:
            return Absent(
                Reason.VIEW_TOO_OLD, detail="the runner has lost models since"
            )
        return order

    def record_answer(self, order: Order, status: int | None, now: float) -> None:
        """Record the status of a runner's answer; None if there was no answer."""
        progress = self._progress.get(order.runner)
        if progress is not None and status == STALE_ORDER_STATUS:
            progress.resend_at_s = now + MAX_RESEND_DELAY_S

    def _is_due(self, runner: str, state: ObservedState, now: float) -> bool:
        if now - state.at_s > MAX_OBSERVATION_AGE_S or state.fencing > self.revision:
            return False
        if is_reached(self._desired[runner], state):
            self._progress.pop(runner, None)
            return False
        progress = self._progress.setdefault(runner, _Progress(now))
        wait_s = self._plan.ranks[runner] * TAKEOVER_DELAY_S
        return now >= max(progress.differs_since_s + wait_s, progress.resend_at_s)

    def _build_order(self, runner: str, state: ObservedState, now: float) -> Order:
        desired = self._desired[runner]
        missing = list_missing(desired, state)
        return Order(
            runner=runner,
            models=desired.models,
            role=desired.role,
            fencing=self.revision,
            load_bytes=self._count_load_bytes(missing),
            planned_s=now,
            observed_s=state.at_s,
        )

    def _choose_affordable(self, waiting: list[Order], now: float) -> Iterator[Order]:
        """Yield the orders within the budget; no load overtakes an earlier one."""
        exhausted = False
        for order in waiting:
            if order.load_bytes and exhausted:
                continue
            if self.budget.charge(order.load_bytes, now) > 0:
                exhausted = True
                continue
            self._schedule_resend(order.runner, now)
            yield order

    def _schedule_resend(self, runner: str, now: float) -> None:
        progress = self._progress[runner]
        progress.resend_at_s = now + progress.resend_delay_s
        progress.resend_delay_s = min(progress.resend_delay_s * 2, MAX_RESEND_DELAY_S)

    def _count_demand(self, order: Order, demand: Mapping[str, float]) -> float:
        return sum(demand.get(model, 0.0) for model in order.models)

    def _count_load_bytes(self, models: tuple[str, ...]) -> int:
        return sum(self._load_bytes.get(model, 0) for model in models)


def _list_load_bytes(environment: Environment) -> dict[str, int]:
    """Return the bytes that loading each model fetches from the weight store."""
    if environment.weight_store is None:
        return {}
    return {model.id: model.weights_bytes for model in environment.models}
