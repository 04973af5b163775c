"""The requests that this host has at targets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .accuracy import FirstEventEstimate
    from .pace import StreamGaps
    from .registry import TargetState

# Time after which the hosts of the remote region report a relayed request as part
# of their own load, in seconds.
RELAY_REPORT_DELAY_S = 0.6


@dataclass(slots=True)
class InFlightRequest:
    """
    An in-flight request at a target.

    ``unread_tokens`` are the tokens of its prompt that the target has to read,
    ``tokens_ahead`` those that had to be read before it. ``slot_was_free`` means
    that it didn't wait for a slot, so the time to its first event shows how fast
    the target reads. ``expected`` is the estimate made when it was sent, ``gaps`` are the times
    between its last events if the paces of targets are learned.
    """

    target: TargetState
    sent_at: float
    priority: int
    unread_tokens: int
    tokens_ahead: int
    first_event_at: float | None = None
    last_event_at: float | None = None
    relayed: bool = False
    slot_was_free: bool = True
    expected: FirstEventEstimate | None = None
    gaps: StreamGaps | None = None

    def counts_here(self, now: float) -> bool:
        """Whether the load that peers report doesn't include the request yet."""
        return not self.relayed or now - self.sent_at < RELAY_REPORT_DELAY_S
