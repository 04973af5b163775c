"""
How long a request is held at a host that doesn't know yet where it could go.

A host that has just started reads the platform's store before it can place
anything; while the store is away, or targets that lapsed in it are missing, it knows
none. Callers come again once or twice only, so that after a full stop a refusal
often costs them the answer. So their requests are held for a short time, with the
load of a restart in view; later, and once a target is known, nothing is held.
"""

from __future__ import annotations

# A host that started longer ago, in seconds, knows what there is to know: the store
# has lapsed targets again about two seconds after its return.
STARTUP_S = 5.0
# A request is held no longer than this, in seconds, and no longer than this part of
# the time that its caller has left.
MAX_HOLD_S = 1.5
HELD_SHARE = 0.3


def find_hold_s(running_s: float, left_s: float) -> float:
    """
    Return how long a request may be held, in seconds; 0 where it is refused at once.

    ``running_s`` is the time since the host started, ``left_s`` that of the caller.
    """
    if running_s > STARTUP_S:
        return 0.0
    return max(0.0, min(MAX_HOLD_S, HELD_SHARE * left_s))
