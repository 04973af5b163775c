"""
What hosts tell each other about requests that were in flight at a crash.

None of these holds any part of a request but its fingerprint.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from .fingerprints import Fingerprint

CONVICTING_DEATHS = 2


@dataclass(frozen=True, slots=True)
class TargetDeath:
    """
    A target's death while a request was in flight on it.

    ``instance`` tells the deaths of one target apart, for example its start
    count or the second in which it died. ``mass`` says that many targets died
    together, so that the request is an unlikely cause.
    """

    target: str
    instance: str
    mass_failure: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class CrashReport:
    """
    All deaths that one host saw a fingerprint in, for its arbiter.

    ``scope`` is the region to which the request is bound, empty if none; a
    report with a scope never leaves that region. ``alone`` says that no other
    request is as likely to have killed the target that died last: nothing else
    is known to have run there, or this one ran there on trial. ``tokens`` is how
    many the target had generated for the request when it died.
    """

    fingerprint: Fingerprint
    scope: str
    deaths: frozenset[TargetDeath]
    alone: bool = False
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """
    A verdict, spread to all hosts of its scope.

    ``remaining_s`` is the rest of the sentence at the time of sending.
    ``deaths`` are explained by it and weigh less against others.
    """

    fingerprint: Fingerprint
    scope: str
    remaining_s: float
    deaths: frozenset[TargetDeath]


def convicts(deaths: frozenset[TargetDeath], explained: Container[TargetDeath]) -> bool:
    """
    Say whether deaths suffice for a conviction.

    It takes two, of which one is neither part of a mass failure nor
    ``explained`` by another request's conviction.
    """
    enough = len(deaths) >= CONVICTING_DEATHS
    return enough and any(
        not death.mass_failure and death not in explained for death in deaths
    )
