"""What hosts tell each other about targets that ended, with ages in place of times."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalog.model import Instance


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """
    A target that ended, with the features of each suspected request.

    ``age_s`` is the time since the end in seconds, ``sent_age_s`` the time since the last
    of these requests was sent there.
    """

    instance: Instance
    age_s: float
    sent_age_s: float
    requests: tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class CrashReport:
    """
    Evidence that a host shares with others, with ages in seconds.

    ``cleared`` are the features of complete answers, ``alive`` the instances that were
    heard from after their connections broke.
    """

    ends: tuple[TargetEnd, ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()
    alive: tuple[tuple[Instance, float], ...] = ()

    def __bool__(self) -> bool:
        return bool(self.ends or self.cleared or self.alive)
