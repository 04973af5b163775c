"""
The desired state of each runner, and the state that a runner reports.

The desired state depends on the environment document alone. Two hosts with the
same revision therefore send the same order, however much their views of other
hosts and targets differ, and can't send conflicting orders.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..environment.model import Role, TargetKind
from ..routing.reports import ModelState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..environment.model import Environment


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The models that a runner should hold, sorted, and its role."""

    models: tuple[str, ...]
    role: Role


@dataclass(frozen=True, slots=True)
class ObservedState:
    """
    The state that a runner reported.

    ``at_s`` is when it was measured, on this process's clock: the age that
    the runner gave in its report is already subtracted. ``fencing`` is the
    highest fencing number that the runner has received.
    """

    at_s: float
    models: Mapping[str, ModelState] = field(default_factory=dict)
    role: str = Role.ANY.value
    fencing: int = 0


def list_desired(environment: Environment) -> dict[str, DesiredState]:
    """Return the desired state of each runner by its id."""
    return {
        target.id: DesiredState(tuple(sorted(target.models)), target.role)
        for target in environment.targets
        if target.kind is TargetKind.RUNNER
    }


def is_reached(desired: DesiredState, observed: ObservedState) -> bool:
    """Return whether a runner is in its desired state or loading the models for it."""
    if observed.role != desired.role.value:
        return False
    held = {
        model
        for model, state in observed.models.items()
        if state is not ModelState.ABSENT
    }
    return held == set(desired.models)


def list_missing(desired: DesiredState, observed: ObservedState) -> tuple[str, ...]:
    """Return the desired models that the runner neither holds nor is loading."""
    return tuple(
        model
        for model in desired.models
        if observed.models.get(model, ModelState.ABSENT) is ModelState.ABSENT
    )
