"""
Tells a target that is silent for a moment from one that has failed.

A sound target may send nothing on all its connections for a while and go on::

    judge_silence(target, silent_since, False, now)   # AttemptOutcome.UNDETERMINED
"""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from .outcomes import AttemptOutcome

if TYPE_CHECKING:
    from .registry import TargetState

# Longest time in seconds for which a sound target sends nothing.
SOUND_SILENCE_S = 2.0
# A target that was heard from in this last share of an attempt's silence answers others.
ACTIVE_SHARE = 0.5


def find_heard_s_ago(target: TargetState, now: float) -> float | None:
    """Return how long ago a target was heard from, None if it never was."""
    heard_s_ago = now - target.last_contact_at
    return round(heard_s_ago, 3) if isfinite(heard_s_ago) else None


def is_active_elsewhere(target: TargetState, silent_since: float, now: float) -> bool:
    """Whether a target answers others while an attempt has been silent since a time."""
    heard_s_ago = now - target.last_contact_at
    return heard_s_ago < ACTIVE_SHARE * (now - silent_since)


def judge_silence(
    target: TargetState, silent_since: float, ignored: bool, now: float
) -> AttemptOutcome:
    """
    Return how a silent attempt ended that another one has replaced.

    An ``ignored`` one fell silent while its target answered others. Earlier silent
    attempts, which were replaced too, count for the time of the silence.
    """
    if ignored:
        return AttemptOutcome.TIMED_OUT
    since = min(silent_since, target.health.silent_since)
    silent_s = now - max(since, target.last_contact_at)
    if silent_s > SOUND_SILENCE_S:
        return AttemptOutcome.TIMED_OUT
    return AttemptOutcome.UNDETERMINED
