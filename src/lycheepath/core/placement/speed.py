"""
Learns how fast the targets of a service read prompts and answer.

Speeds are not announced. The time until a prompt has been read is modelled as a base
plus a time per token that had to be read until then. Both are fitted to observations,
weighted towards recent ones. For a service without engines, the model is the mean
time until an answer begins, and the mean time until it ends, during which it occupies
a slot.
"""

from __future__ import annotations

# Initial values before any observation, between those of the two deployments' engines.
INITIAL_TOKEN_S = 2e-5
INITIAL_BASE_S = 0.04
INITIAL_SERVICE_S = 0.03
# Bounds of the learned time per token, in seconds: 500 and 5 tokens per ms.
MIN_TOKEN_S = 2e-6
MAX_TOKEN_S = 2e-4
# Upper bound of the learned base time, in seconds.
MAX_BASE_S = 0.3
# Weight of the initial values, as a number of observations.
PRIOR_WEIGHT = 4.0
# Prompt lengths, in tokens, of the two assumed observations.
PRIOR_TOKENS = (500.0, 10_000.0)
# Factor on the weight of earlier observations with each new one; about 100 of them
# count.
RETENTION = 0.99
# Upper bound of an observed time, as a multiple of the expected time; what takes longer
# was mostly held up on its way, by a link or a process that stood still.
MAX_OBSERVED_RATIO = 3.0
# Minimum weight of a new answer in the means of a service without engines.
SERVICE_WEIGHT = 0.05
# Time in seconds that an answer is assumed to occupy a slot before any was observed.
INITIAL_OCCUPANCY_S = 0.5
# Minimum weight of a new answer in the mean slot occupancy.
OCCUPANCY_WEIGHT = 0.03
# Upper bound of the slot occupancy that a single answer contributes, in seconds.
MAX_OCCUPANCY_S = 20.0
# A service is considered to run out of slots for ``CROWDED_PERIOD_S`` seconds after one
# of its engines was observed with at least this share of its slots in use.
CROWDED_UTILIZATION = 0.8
CROWDED_PERIOD_S = 10.0
# Upper bound in seconds of what a single answer contributes to the means of a service
# without engines, so that one that hung counts little.
MAX_SERVICE_S = 1.0


class SpeedModel:
    """The sums of the fit, and the means of observed answers."""

    def __init__(self) -> None:
        self.token_s = INITIAL_TOKEN_S
        self.base_s = INITIAL_BASE_S
        self.begin_s = INITIAL_SERVICE_S
        self.service_s = INITIAL_SERVICE_S
        self.occupancy_s = INITIAL_OCCUPANCY_S
        self._crowded_until = float("-inf")
        self._answers = 0
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        for tokens in PRIOR_TOKENS:
            assumed_s = INITIAL_BASE_S + tokens * INITIAL_TOKEN_S
            self._add(tokens, assumed_s, PRIOR_WEIGHT / len(PRIOR_TOKENS))

    def observe_read(self, took_s: float, tokens: int) -> None:
        """Add the time until a prompt was read, and the tokens read until then."""
        for name in ("_n", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * RETENTION)
        longest_s = MAX_OBSERVED_RATIO * self.estimate_read_s(tokens)
        self._add(float(tokens), min(took_s, longest_s), 1.0)
        spread = self._n * self._xx - self._x * self._x
        if spread <= 0.0:
            return
        slope = (self._n * self._xy - self._x * self._y) / spread
        self.token_s = min(max(slope, MIN_TOKEN_S), MAX_TOKEN_S)
        base = (self._y - self.token_s * self._x) / self._n
        self.base_s = min(max(base, 0.0), MAX_BASE_S)

    def observe_answer(self, began_s: float, took_s: float) -> None:
        """Add the times until an answer began and until it ended."""
        self._answers += 1
        step = max(SERVICE_WEIGHT, 1.0 / (self._answers + 1))
        self.begin_s += step * (_bound(began_s, self.begin_s) - self.begin_s)
        self.service_s += step * (_bound(took_s, self.service_s) - self.service_s)
        step = max(OCCUPANCY_WEIGHT, 1.0 / (self._answers + 1))
        self.occupancy_s += step * (min(took_s, MAX_OCCUPANCY_S) - self.occupancy_s)

    def observe_relayed_answer(self, took_s: float) -> None:
        """
        Add the time of an answer that another host relayed, an upper bound of ours.

        Without it, a mean that is too long is never corrected at a host that relays all
        requests because of it.
        """
        self.begin_s += SERVICE_WEIGHT * min(0.0, took_s - self.begin_s)
        self.service_s += SERVICE_WEIGHT * min(0.0, took_s - self.service_s)

    def observe_occupancy(self, in_flight: int, slots: int, now: float) -> None:
        """Add the number of in-flight requests observed at a target with ``slots``."""
        if in_flight >= CROWDED_UTILIZATION * slots:
            self._crowded_until = now + CROWDED_PERIOD_S

    def lacks_slots(self, now: float) -> bool:
        """Whether the service's targets recently ran out of slots."""
        return now < self._crowded_until

    def estimate_read_s(self, tokens: int) -> float:
        """Return the time until ``tokens`` are read, those queued before included."""
        return self.base_s + tokens * self.token_s

    def _add(self, tokens: float, took_s: float, weight: float) -> None:
        self._n += weight
        self._x += weight * tokens
        self._y += weight * took_s
        self._xx += weight * tokens * tokens
        self._xy += weight * tokens * took_s


def _bound(observed_s: float, expected_s: float) -> float:
    """Return an observed time of a service without engines, bounded."""
    return min(observed_s, MAX_OBSERVED_RATIO * expected_s, MAX_SERVICE_S)


def estimate_slot_wait_s(in_flight: int, slots: int, occupancy_s: float) -> float:
    """
    Return the time until a slot is free behind ``in_flight`` requests.

    A request occupies its slot for ``occupancy_s`` on average.
    """
    over = max(0, in_flight + 1 - slots)
    return occupancy_s * over / max(1, slots)
