from __future__ import annotations

from soak.limits import CONTACT_S, Sent, StatedLimit, find_exceeded

TOLD_AT = {("i-1", "host-1"): 0.5, ("i-1", "host-2"): 0.5}


def send_steadily(per_second: float, since: float, until: float) -> list[Sent]:
    count = int((until - since) * per_second)
    return [
        Sent("i-1", since + n / per_second, f"host-{1 + n % 2}") for n in range(count)
    ]


def test_more_requests_than_the_limit_allows_are_found() -> None:
    limits = [StatedLimit("i-1", 0.0, 1.0)]
    found = list(find_exceeded(limits, send_steadily(3.0, 0.0, 20.0), TOLD_AT))
    assert len(found) == 1
    assert "allowed 11 at 1 a second" in found[0]
    assert not list(find_exceeded(limits, send_steadily(2.5, 0.0, 20.0), TOLD_AT))


def test_requests_count_only_after_the_host_was_told_and_the_contact_time() -> None:
    limits = [StatedLimit("i-1", 0.0, 1.0)]
    arrivals = send_steadily(30.0, 0.0, CONTACT_S - 0.1)
    assert not list(find_exceeded(limits, arrivals, TOLD_AT))
    arrivals = send_steadily(30.0, 0.0, 20.0)
    assert not list(find_exceeded(limits, arrivals, {}))


def test_highest_rate_of_a_window_counts_and_an_ended_limit_allows_all() -> None:
    limits = [StatedLimit("i-1", 0.0, 1.0), StatedLimit("i-1", 10.0, None)]
    assert not list(find_exceeded(limits, send_steadily(30.0, 10.1, 20.0), TOLD_AT))
    limits.append(StatedLimit("i-1", 14.0, 1.0))
    found = list(find_exceeded(limits, send_steadily(30.0, 10.1, 30.0), TOLD_AT))
    assert len(found) == 1
