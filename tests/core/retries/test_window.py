from __future__ import annotations

from lycheepath.core.retries.window import RetryWindow


def test_window_grants_a_share_of_the_fleets_retries() -> None:
    window = RetryWindow(ratio=0.2, allowance=58, window_s=10.0)
    taken = sum(window.take("books", hosts=9, now=0.0) for _ in range(100))
    assert taken == 5


def test_window_grants_retries_in_proportion_to_requests() -> None:
    window = RetryWindow(ratio=0.2, allowance=0, window_s=10.0)
    for _ in range(100):
        window.count_request("books", 0.0)
    taken = sum(window.take("books", hosts=9, now=1.0) for _ in range(100))
    assert taken == 16


def test_window_drops_requests_and_retries_that_are_older() -> None:
    window = RetryWindow(ratio=0.0, allowance=9, window_s=10.0)
    assert [window.take("books", 9, t) for t in (0.0, 1.0, 10.5)] == [False] * 3
    window = RetryWindow(ratio=0.0, allowance=18, window_s=10.0)
    assert [window.take("books", 9, t) for t in (0.0, 1.0, 10.5)] == [True, False, True]


def test_shares_of_all_hosts_stay_within_the_fleets_limit() -> None:
    windows = [RetryWindow(0.2, 58, 10.0) for _ in range(9)]
    for window in windows:
        for _ in range(20):
            window.count_request("books", 0.0)
    taken = sum(window.take("books", 9, 0.0) for window in windows for _ in range(1000))
    assert taken <= 0.2 * 180 + 58


def test_asking_for_a_retry_takes_none() -> None:
    window = RetryWindow(ratio=0.0, allowance=18, window_s=10.0)
    assert [window.may_take("books", 9, 0.0) for _ in range(3)] == [True] * 3
    assert window.take("books", 9, 0.0)
    assert not window.may_take("books", 9, 0.0)
