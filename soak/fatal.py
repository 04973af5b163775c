"""
Requests with a part in their prompts that ends targets, and the check on how many run.

They are sent to random hosts at a steady rate until the recovery begins. The check
counts as the platform does: requests that reach targets later than ``CONTACT_S`` after
the fifth end, from hosts without a fault in that time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .limits import CONTACT_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Names of shared parts: all requests have the first, fatal ones the second as well.
SHARED_PART, FATAL_PART = "shared", "fatal"
SOUND_PARTS = tuple(f"sound-{number}" for number in range(4))
# Tokens of each part of a prompt.
PART_TOKENS = 50
# Exit status of a target that ends under a fatal request.
FATAL_EXIT = 86
# The number of the end after which requests are counted, and how many may follow.
COUNTED_END = 5
MAX_LATE = 3


@dataclass(frozen=True, slots=True)
class FatalArrival:
    """A fatal request that began to run, from the host that its caller asked."""

    at: float
    id: str
    host: str


def write_prompt_headers(parts: Sequence[str], request_id: str) -> list[str]:
    """Return the headers of a prompt with shared parts and one of its own."""
    entries = [f"{part}:{PART_TOKENS}" for part in (*parts, f"own-{request_id}")]
    return [
        "Model: m",
        f"Token-Usage: {PART_TOKENS * len(entries)},20",
        f"Prompt-Prefix: {','.join(entries)}",
    ]


def has_fatal_part(prompt: str) -> bool:
    """Whether a ``Prompt-Prefix`` header has the fatal part, not as its last."""
    return FATAL_PART in [entry.split(":")[0] for entry in prompt.split(",")[:-1]]


def find_late(arrivals: Sequence[FatalArrival]) -> Iterator[str]:
    """Yield a description if more requests than allowed came after the fifth end."""
    ends = sorted(arrival.at for arrival in arrivals)
    if len(ends) < COUNTED_END:
        return
    since = ends[COUNTED_END - 1] + CONTACT_S
    late = [arrival for arrival in arrivals if arrival.at > since and arrival.host]
    if len(late) > MAX_LATE:
        first = min(late, key=lambda arrival: arrival.at)
        yield (
            f"{len(late)} requests with a fatal part ran later than {CONTACT_S} s after"
            f" the fifth end, {len(ends)} in all; the first is {first.id} at {first.host}"
        )
