from __future__ import annotations

from lycheepath.core.placement.rate_limit import (
    BURST_S,
    MIN_RATE,
    RateLimit,
)


def grant_all(limit: RateLimit, since: float, until: float, share: float = 1.0) -> int:
    """Ask for a permit each 10 ms; return how many are granted."""
    steps = range(int(since * 100), int(until * 100))
    return sum(limit.take_permit(step / 100, share) == 0.0 for step in steps)


def test_limit_ends_with_the_answer_to_a_later_request() -> None:
    limit = RateLimit()
    assert limit.observe_answer(2.0, sent_at=1.0, now=2.0)
    assert not limit.observe_answer(2.0, sent_at=1.5, now=2.1)
    # Sent before the limit was known: the answer may be older than the limit.
    assert not limit.observe_answer(None, sent_at=2.0, now=3.0)
    assert limit.rate == 2.0
    assert limit.observe_answer(None, sent_at=2.2, now=3.0)
    assert limit.rate is None


def test_report_of_a_peer_counts_only_if_it_is_newer() -> None:
    limit = RateLimit()
    assert limit.apply_report(3.0, observed_at=5.0)
    assert not limit.apply_report(None, observed_at=4.0)
    assert limit.rate == 3.0
    assert limit.apply_report(None, observed_at=6.0)
    assert limit.rate is None


def test_permits_are_granted_at_the_stated_rate() -> None:
    for rate in (0.4, 1.0, 2.5, 20.0):
        limit = RateLimit(rate)
        granted = grant_all(limit, 0.0, 20.0)
        assert 0.9 * 20.0 * rate <= granted <= 20.0 * rate + 1.0 + rate * BURST_S


def test_permits_that_nobody_takes_do_not_accumulate() -> None:
    limit = RateLimit(4.0)
    grant_all(limit, 0.0, 1.0)
    assert grant_all(limit, 100.0, 104.0) <= 4.0 * 4.0 + 1.0 + 4.0 * BURST_S


def test_share_of_a_host_is_part_of_the_rate() -> None:
    limit = RateLimit(4.0)
    assert grant_all(limit, 0.0, 20.0, share=0.25) <= 20.0 + 2.0


def test_target_with_a_tiny_limit_is_still_used() -> None:
    limit = RateLimit(1e-6)
    assert grant_all(limit, 0.0, 2.0 / MIN_RATE) >= 2


def test_changed_rate_applies_at_once() -> None:
    limit = RateLimit(10.0)
    grant_all(limit, 0.0, 2.0)
    limit.observe_answer(1.0, 1.9, 2.0)
    assert grant_all(limit, 2.0, 6.0) <= 4.0 + 1.0 + BURST_S
