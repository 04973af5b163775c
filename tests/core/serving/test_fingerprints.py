from __future__ import annotations

from lycheepath.core.serving.fingerprints import MAX_PART_LENGTH, list_features


def test_features_distinguish_requests() -> None:
    first = list_features(b"GET", b"/a", b"", ())
    assert first == list_features(b"GET", b"/a", b"", ())
    assert first != list_features(b"GET", b"/", b"a", ())
    assert len(first) == 1


def test_requests_share_the_features_of_the_parts_that_they_share() -> None:
    first = list_features(b"POST", b"/a", b"1", ("5c1e", "91bd"))
    second = list_features(b"POST", b"/a", b"2", ("5c1e", "e440"))
    assert set(first) & set(second) == {"part 5c1e"}


def test_requests_that_differ_only_in_their_prompts_are_told_apart() -> None:
    first = list_features(b"GET", b"/a", b"", ("5c1e", "91bd"))
    second = list_features(b"GET", b"/a", b"", ("5c1e", "e440"))
    assert set(first) & set(second) == {"part 5c1e"}
    assert first == list_features(b"GET", b"/a", b"", ("5c1e", "91bd"))


def test_long_id_of_a_part_is_shortened_and_still_distinct() -> None:
    long = "x" * MAX_PART_LENGTH
    found = {list_features(b"GET", b"/", b"", (long + end,))[0] for end in "abc"}
    assert len(found) == 3
    assert all(len(feature) < 40 for feature in found)
