"""
Records that hosts exchange about requests in flight at a target's death.

They identify a request by its fingerprint and hold no other part of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from .fingerprints import Fingerprint

MIN_QUARANTINE_DEATHS = 2


@dataclass(frozen=True, slots=True)
class TargetDeath:
    """
    A target's death while a request was in flight on it.

    ``instance`` distinguishes the deaths of one target, for example by its
    start count or the second in which it died. ``mass_failure`` is set if many
    targets died at the same time, which makes the request an unlikely cause.
    """

    target: str
    instance: str
    mass_failure: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class CrashReport:
    """
    All deaths that one host recorded for a fingerprint, sent to its arbiter.

    ``scope`` is the region to which the request is bound, empty if none; a
    report with a scope is never sent to another region. ``alone`` is set if no
    other request is as likely to have caused the last death: no other request
    is known to have run on that target, or this one ran there on trial.
    ``tokens`` is the number of tokens that the target had generated for the
    request when it died.
    """

    fingerprint: Fingerprint
    scope: str
    deaths: frozenset[TargetDeath]
    alone: bool = False
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """
    The decision to quarantine a request, sent to all hosts of its scope.

    ``remaining_s`` is the remaining quarantine time when the decision is sent,
    in seconds. ``deaths`` are explained by the decision and no longer suffice
    as evidence against other requests.
    """

    fingerprint: Fingerprint
    scope: str
    remaining_s: float
    deaths: frozenset[TargetDeath]


def warrants_quarantine(
    deaths: frozenset[TargetDeath], explained: Container[TargetDeath]
) -> bool:
    """
    Return whether deaths suffice to quarantine a request.

    This takes ``MIN_QUARANTINE_DEATHS``, at least one of which is neither part
    of a mass failure nor ``explained`` by the quarantine of another request.
    """
    enough = len(deaths) >= MIN_QUARANTINE_DEATHS
    return enough and any(
        not death.mass_failure and death not in explained for death in deaths
    )
