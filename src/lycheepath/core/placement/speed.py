"""
Learns how fast the targets of a service read prompts and answer.

Speeds are not announced. The time until a prompt is read is taken to be a base
and a time for each token that had to be read until then; both are fitted to
what is seen, the latest most. For a plain service it is the mean time until an
answer begins, and the mean until it has ended, for which it takes a slot.
"""

from __future__ import annotations

# Before anything is learned; between the engines of the two deployments.
FIRST_TOKEN_S = 2e-5
FIRST_BASE_S = 0.04
FIRST_SERVICE_S = 0.03
# Bounds of what is learned, in seconds a token: 500 and 5 tokens a ms.
FASTEST_TOKEN_S = 2e-6
SLOWEST_TOKEN_S = 2e-4
MOST_BASE_S = 0.3
# What is assumed at first weighs as much as this many observations.
PRIOR_WEIGHT = 4.0
# Tokens of the two assumed observations.
PRIOR_TOKENS = (500.0, 10_000.0)
# Weight that an observation keeps with each later one: about 100 count.
MEMORY = 0.99
SERVICE_STEP = 0.05
# What an answer takes at an engine from its first event to its last, before any
# was seen, and the weight of one more.
FIRST_STAY_S = 0.5
STAY_STEP = 0.03
MOST_STAY_S = 20.0
# Where so large a part of an engine's places was seen taken, places are what the
# service's engines run out of, for so many seconds.
CROWDED_SHARE = 0.8
CROWDED_S = 10.0
# One answer that hung counts for no more in the means of a plain service.
MOST_SERVICE_S = 1.0


class SpeedModel:
    """State: the sums of the fit, and the means of a plain service's answers."""

    def __init__(self) -> None:
        self.token_s = FIRST_TOKEN_S
        self.base_s = FIRST_BASE_S
        self.begin_s = FIRST_SERVICE_S
        self.service_s = FIRST_SERVICE_S
        self.stay_s = FIRST_STAY_S
        self._crowded_until = float("-inf")
        self._answers = 0
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        for tokens in PRIOR_TOKENS:
            assumed_s = FIRST_BASE_S + tokens * FIRST_TOKEN_S
            self._add(tokens, assumed_s, PRIOR_WEIGHT / len(PRIOR_TOKENS))

    def observe_read(self, took_s: float, tokens: int) -> None:
        """Take the time until a prompt was read, and the tokens read until then."""
        for name in ("_n", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * MEMORY)
        self._add(float(tokens), took_s, 1.0)
        spread = self._n * self._xx - self._x * self._x
        if spread <= 0.0:
            return
        slope = (self._n * self._xy - self._x * self._y) / spread
        self.token_s = min(max(slope, FASTEST_TOKEN_S), SLOWEST_TOKEN_S)
        base = (self._y - self.token_s * self._x) / self._n
        self.base_s = min(max(base, 0.0), MOST_BASE_S)

    def observe_whole(self, began_s: float, took_s: float) -> None:
        """Take the times until a plain service's answer began and had ended."""
        self._answers += 1
        step = max(SERVICE_STEP, 1.0 / (self._answers + 1))
        self.begin_s += step * (min(began_s, MOST_SERVICE_S) - self.begin_s)
        self.service_s += step * (min(took_s, MOST_SERVICE_S) - self.service_s)
        step = max(STAY_STEP, 1.0 / (self._answers + 1))
        self.stay_s += step * (min(took_s, MOST_STAY_S) - self.stay_s)

    def observe_fill(self, in_flight: int, slots: int, now: float) -> None:
        """Take the requests under way at a target of so many places."""
        if in_flight >= CROWDED_SHARE * slots:
            self._crowded_until = now + CROWDED_S

    def lacks_slots(self, now: float) -> bool:
        """Whether the service's targets run out of places, as far as was seen."""
        return now < self._crowded_until

    def estimate_read_s(self, tokens: int) -> float:
        """Return the time until ``tokens`` are read, those ahead included."""
        return self.base_s + tokens * self.token_s

    def _add(self, tokens: float, took_s: float, weight: float) -> None:
        self._n += weight
        self._x += weight * tokens
        self._y += weight * took_s
        self._xx += weight * tokens * tokens
        self._xy += weight * tokens * took_s


def estimate_slot_wait_s(in_flight: int, slots: int, stay_s: float) -> float:
    """
    Return the time until a place is free behind ``in_flight`` requests.

    Places are freed one after the other, each after ``stay_s`` on average.
    """
    over = max(0, in_flight + 1 - slots)
    return stay_s * over / max(1, slots)
