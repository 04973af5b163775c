"""
What the document asks of each runner, and what a runner reports of itself.

The desired state depends on the document alone. Two hosts with the same
revision therefore send the same order, whatever else they believe, and can't
work against each other.
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
    What a runner said of itself at ``at_s`` on this process's clock.

    ``at_s`` already counts the age that the runner's report had.
    ``fencing`` is the highest number that it has seen.
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
    """Tell whether a runner is in its desired state or loading towards it."""
    if observed.role != desired.role.value:
        return False
    held = {
        model
        for model, state in observed.models.items()
        if state is not ModelState.ABSENT
    }
    return held == set(desired.models)


def list_missing(desired: DesiredState, observed: ObservedState) -> tuple[str, ...]:
    """Return the desired models that the runner neither holds nor loads."""
    return tuple(
        model
        for model in desired.models
        if observed.models.get(model, ModelState.ABSENT) is ModelState.ABSENT
    )
