"""
Limits how long a request waits at a host that doesn't know any target yet.

A host that has just started reads the platform's store before it can place requests.
It knows no target while the store is unavailable, or while entries that lapsed in the
store haven't been written again. Callers retry only once or twice, so a refusal after
a restart of the whole fleet often costs them the answer. Requests are therefore held,
but only for a short time, as a restart brings a high load. Nothing is held later, or
once a target is known.
"""

from __future__ import annotations

# Time in seconds after its start within which a host may lack targets: the store has
# lapsed entries again about two seconds after it is available.
STARTUP_S = 5.0
# Maximum time in seconds that a request is held, and the maximum share of its caller's
# remaining time.
MAX_HOLD_S = 1.5
MAX_HOLD_SHARE = 0.3


def find_hold_s(running_s: float, left_s: float) -> float:
    """
    Return how long a request may be held, in seconds; 0 refuses it at once.

    ``running_s`` is the time since the host started, ``left_s`` the time that the
    caller still waits.
    """
    if running_s > STARTUP_S:
        return 0.0
    return max(0.0, min(MAX_HOLD_S, MAX_HOLD_SHARE * left_s))
