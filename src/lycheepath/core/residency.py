"""
Residency: which region a request is bound to, and the check before each use.

``assert_resident`` stands before every byte of a bound request that leaves
the process, and before anything of it is recorded.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .environment.model import Environment, ResidencyRule


class ResidencyViolationError(AssertionError):
    """A bound request was about to leave its region."""


@dataclass(frozen=True, slots=True)
class Subject:
    """
    What is known of a request; an empty model or service is not yet known.
    """

    team: str
    model: str = ""
    service: str = ""


def bound_region(environment: Environment, subject: Subject) -> str | None:
    """Return the region that the request must stay in, or None."""
    for rule in environment.residency:
        if _binds(rule, subject):
            return rule.region
    return None


def possible_regions(environment: Environment, subject: Subject) -> frozenset[str]:
    """
    Return the regions that the request might be bound to.

    Selectors on facts that are not yet known count as matching, so that a
    host can decide from the headers alone whether it may read the body.
    """
    return frozenset(
        rule.region
        for rule in environment.residency
        if _may_bind(rule, subject) and _has_selectors(rule)
    )


def assert_resident(bound: str | None, region: str, action: str) -> None:
    """Raise if ``action`` would take a request bound elsewhere to ``region``."""
    if bound is not None and bound != region:
        message = f"{action} in {region} of a request bound to {bound}"
        raise ResidencyViolationError(message)


def _has_selectors(rule: ResidencyRule) -> bool:
    return bool(rule.teams or rule.models or rule.services)


def _binds(rule: ResidencyRule, subject: Subject) -> bool:
    if not _has_selectors(rule):
        return False
    return (
        (not rule.teams or subject.team in rule.teams)
        and (not rule.models or subject.model in rule.models)
        and (not rule.services or subject.service in rule.services)
    )


def _may_bind(rule: ResidencyRule, subject: Subject) -> bool:
    if rule.teams and subject.team not in rule.teams:
        return False
    if subject.service:
        return not rule.models and (
            not rule.services or subject.service in rule.services
        )
    if rule.services:
        return False
    return not rule.models or not subject.model or subject.model in rule.models
