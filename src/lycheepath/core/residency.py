"""
Residency: the region that a request is bound to, and the check of each use.

``assert_resident`` is called before any byte of a bound request is sent from
the process, and before any part of it is recorded.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .environment.model import Environment, ResidencyRule


class ResidencyViolationError(AssertionError):
    """A bound request was about to be sent to another region or recorded there."""


@dataclass(frozen=True, slots=True)
class Subject:
    """
    The known properties of a request; an empty model or service is unknown.
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

    Selectors on properties that are not yet known count as matching, so that a
    host can decide from the headers alone whether it may read the body.
    """
    return frozenset(
        rule.region
        for rule in environment.residency
        if _may_bind(rule, subject) and _has_selectors(rule)
    )


def assert_resident(bound: str | None, region: str, action: str) -> None:
    """
    Raise ``ResidencyViolationError`` if the request is bound to another region.

    ``action`` names what was about to happen in ``region``.
    """
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
