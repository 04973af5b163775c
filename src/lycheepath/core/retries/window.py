"""
Limits this host to its share of the fleet's retries.

Each service may get retries in proportion to its requests, plus a fixed allowance per
window. A host counts its own requests and uses an equal share of the allowance, so the
shares add up to the limit even if hosts are partitioned from each other::

    window = RetryWindow(ratio=0.2, allowance=58, window_s=10.0)
    window.count_request("books", now)
    if window.take("books", hosts=9, now=now):
        ...
"""

from __future__ import annotations

from collections import deque

# Share of the limit that is used; the rest covers hosts that aren't known yet.
USED_SHARE = 0.8


class RetryWindow:
    """The times of requests and retries within the last window, by service."""

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio * USED_SHARE
        self._allowance = allowance * USED_SHARE
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._trim(self._requests, service, now).append(now)

    def take(self, service: str, hosts: int, now: float) -> bool:
        """Take one retry as one of ``hosts`` hosts; return False if there is none."""
        if not self.may_take(service, hosts, now):
            return False
        self._retries[service].append(now)
        return True

    def may_take(self, service: str, hosts: int, now: float) -> bool:
        """Return whether there is a retry for one of ``hosts`` hosts."""
        requests = len(self._trim(self._requests, service, now))
        retries = len(self._trim(self._retries, service, now))
        return retries + 1 <= self._ratio * requests + self._allowance / max(1, hosts)

    def _trim(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] < now - self._window_s:
            recent.popleft()
        return recent
