"""
Learns how fast the targets of a service read prompts and answer.

Speeds are not announced. A model engine's is learned from the time to the
first event against the tokens that had to be read until then, a plain
service's from the time of whole answers.
"""

from __future__ import annotations

# Before anything is learned; between the engines of the two deployments.
FIRST_TOKEN_S = 2e-5
FIRST_SERVICE_S = 0.03
# Bounds of what is learned, in seconds a token: 500 and 5 tokens a ms.
FASTEST_TOKEN_S = 2e-6
SLOWEST_TOKEN_S = 2e-4
# Time to a first event that does not depend on the prompt.
BASE_S = 0.04
# Shorter readings tell more of the base than of the speed.
LEAST_TOKENS = 1500
STEP = 0.05


class SpeedModel:
    """State: what is learned of one service."""

    def __init__(self) -> None:
        self.token_s = FIRST_TOKEN_S
        self.service_s = FIRST_SERVICE_S
        self._readings = 0
        self._answers = 0

    def observe_first(self, took_s: float, tokens: int) -> None:
        """Take the time to a first event, and the tokens read until then."""
        if tokens < LEAST_TOKENS:
            return
        sample = max(0.0, took_s - BASE_S) / tokens
        sample = min(max(sample, FASTEST_TOKEN_S), SLOWEST_TOKEN_S)
        self._readings += 1
        step = max(STEP, 1.0 / (self._readings + 1))
        self.token_s += step * (sample - self.token_s)

    def observe_whole(self, took_s: float) -> None:
        """Take the time of a whole answer of a plain service."""
        self._answers += 1
        step = max(STEP, 1.0 / (self._answers + 1))
        self.service_s += step * (min(took_s, 1.0) - self.service_s)

    def estimate_first_s(self, tokens: int) -> float:
        """Return the time to a first event behind ``tokens`` to read."""
        return BASE_S + tokens * self.token_s
