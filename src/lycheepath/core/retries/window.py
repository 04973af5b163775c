"""
This host's share of the retries that the whole fleet may make.

Each service may get retries in proportion to its requests, and a fixed number
beyond that in each window. A host counts its own requests and takes an equal
part of the fixed number, so that the shares add up to the bound however the
hosts are cut off from each other::

    window = RetryWindow(ratio=0.2, allowance=58, window_s=10.0)
    window.count_request("books", now)
    if window.take("books", hosts=9, now=now):
        ...
"""

from __future__ import annotations

from collections import deque

# Part of the bound that is used; the rest covers hosts not yet known of.
USED_SHARE = 0.8


class RetryWindow:
    """State: the requests and retries of the last window, by service."""

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio * USED_SHARE
        self._allowance = allowance * USED_SHARE
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._trim(self._requests, service, now).append(now)

    def take(self, service: str, hosts: int, now: float) -> bool:
        """Take one retry, as one of ``hosts``; tell whether there was one."""
        requests = len(self._trim(self._requests, service, now))
        retries = self._trim(self._retries, service, now)
        if len(retries) + 1 > self._ratio * requests + self._allowance / max(1, hosts):
            return False
        retries.append(now)
        return True

    def _trim(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        held = times.setdefault(service, deque())
        while held and held[0] < now - self._window_s:
            held.popleft()
        return held
