from __future__ import annotations

from lycheepath.core.serving.suspects import (
    ALIVE_FROM_S,
    ALIVE_UNTIL_S,
    BLOCK_S,
    CLEARED_S,
    MAX_LOST_TARGETS,
    MAX_SUSPECTS,
    Suspects,
    fingerprint_request,
)


def test_request_that_crashed_several_targets_is_blocked() -> None:
    suspects = Suspects()
    for number in range(MAX_LOST_TARGETS):
        assert not suspects.find_blocked_s(7, 0.0)
        suspects.record_disconnect(7, f"i-{number}", 0.0)
    assert suspects.find_blocked_s(7, 1.0) == BLOCK_S - 1.0
    assert not suspects.find_blocked_s(8, 1.0)
    assert not suspects.find_blocked_s(7, BLOCK_S + 1.0)


def test_request_with_broken_connections_to_one_target_is_not_blocked() -> None:
    suspects = Suspects()
    for _ in range(10):
        suspects.record_disconnect(7, "i-1", 0.0)
    assert not suspects.find_blocked_s(7, 0.0)


def test_answer_clears_a_request() -> None:
    suspects = Suspects()
    for number in range(MAX_LOST_TARGETS):
        suspects.record_disconnect(7, f"i-{number}", 0.0)
    suspects.record_answer(7, "i-9", 0.0)
    assert not suspects.find_blocked_s(7, 0.0)


def test_request_that_was_answered_elsewhere_is_not_blocked() -> None:
    suspects = Suspects()
    suspects.record_answer(7, "i-9", 0.0)
    for number in range(MAX_LOST_TARGETS):
        suspects.record_disconnect(7, f"i-{number}", 1.0)
    assert not suspects.find_blocked_s(7, 1.0)
    for number in range(MAX_LOST_TARGETS):
        suspects.record_disconnect(7, f"i-{number}", CLEARED_S + 1.0)
    assert suspects.find_blocked_s(7, CLEARED_S + 1.0)


def test_broken_connection_to_a_live_target_does_not_count() -> None:
    suspects = Suspects()
    for number in range(MAX_LOST_TARGETS):
        suspects.record_disconnect(7, f"i-{number}", 0.0)
    suspects.record_answer(8, "i-0", ALIVE_FROM_S / 2)
    assert suspects.find_blocked_s(7, 0.5)
    suspects.record_answer(8, "i-0", 0.5)
    assert not suspects.find_blocked_s(7, 0.5)


def test_target_that_answers_after_its_restart_counts_as_crashed() -> None:
    suspects = Suspects()
    for number in range(MAX_LOST_TARGETS):
        suspects.record_disconnect(7, f"i-{number}", 0.0)
    suspects.record_answer(8, "i-0", ALIVE_UNTIL_S + 0.1)
    assert suspects.find_blocked_s(7, 2.0)


def test_number_of_suspects_is_bounded() -> None:
    suspects = Suspects()
    for number in range(MAX_SUSPECTS * 2):
        suspects.record_disconnect(number, "i-1", 0.0)
    assert len(suspects.list_recent(0.0, 1.0)) == MAX_SUSPECTS


def test_fingerprint_distinguishes_requests() -> None:
    assert fingerprint_request(b"GET", b"/a", b"") == fingerprint_request(
        b"GET", b"/a", b""
    )
    assert fingerprint_request(b"GET", b"/a", b"") != fingerprint_request(
        b"GET", b"/", b"a"
    )
