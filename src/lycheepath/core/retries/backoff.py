"""Exponential backoff with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

BASE_S = 0.05
CAP_S = 2.0


def draw_backoff(attempt: int, random: Random) -> float:
    """Return the seconds to wait before retry number ``attempt``, from 1."""
    return random.uniform(0.0, min(CAP_S, BASE_S * 2.0 ** (attempt - 1)))
