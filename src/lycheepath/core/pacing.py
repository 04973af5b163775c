"""
How long a busy host leaves tokens in the socket before it reads them.

Reading each token as it comes costs a pass through the libraries for each. A
host that is short of processor time reads a stream at intervals instead and
passes on what has gathered. The interval grows step by step while the host is
busy and shrinks again when it isn't; the first token never waits.
"""

from __future__ import annotations

from dataclasses import dataclass

BUSY_SHARE = 0.5
IDLE_SHARE = 0.35
STEP_S = 0.01
LONGEST_PACE_S = 0.04


@dataclass(slots=True)
class Pacer:
    """State: the present interval in seconds."""

    pace_s: float = 0.0

    def adjust(self, busy_share: float) -> float:
        """
        Return the interval for the next while.

        ``busy_share`` is the processor time that the process used lately, as a
        share of one core.
        """
        if busy_share > BUSY_SHARE:
            self.pace_s = min(LONGEST_PACE_S, self.pace_s + STEP_S)
        elif busy_share < IDLE_SHARE:
            self.pace_s = max(0.0, self.pace_s - STEP_S)
        return self.pace_s
