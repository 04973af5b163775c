from __future__ import annotations

from lycheepath.core.placement.rate_limit import RateLimit


def test_limit_ends_with_the_answer_to_a_later_request() -> None:
    limit = RateLimit()
    assert limit.observe_answer(2.0, sent_at=1.0, now=2.0)
    assert not limit.observe_answer(2.0, sent_at=1.5, now=2.1)
    # Sent before the limit was known: the answer may be older than the limit.
    assert not limit.observe_answer(None, sent_at=2.0, now=3.0)
    assert limit.rate == 2.0
    assert limit.observe_answer(None, sent_at=2.2, now=3.0)
    assert limit.rate is None
