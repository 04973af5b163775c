"""Exponential backoff with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Backoff bounds in seconds: the maximum delay before the first retry, which doubles
# with each retry, and its upper limit.
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


def draw_backoff(attempt: int, random: Random) -> float:
    """Return the seconds to wait before retry number ``attempt``, from 1."""
    return random.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** (attempt - 1)))
