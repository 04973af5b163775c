from __future__ import annotations

from soak.answers import RequestKind, Work, is_valid_body, make_event
from soak.versions import (
    MAX_JOINED,
    MIN_TAKE_UPS,
    StreamPart,
    find_joined,
    find_lost_take_ups,
    list_event_versions,
    remove_versions,
)


def make_part(
    stream: str,
    *versions: str,
    taken_up: bool = False,
    counts: bool = True,
    older: bool = False,
) -> StreamPart:
    return StreamPart(stream, taken_up, versions, counts, older)


def test_events_name_the_version_that_wrote_them() -> None:
    body = make_event("r1", 2, "v1") + make_event("r1", 3, "v2")
    assert list_event_versions(body) == ("v1", "v2")
    assert remove_versions(body) == make_event("r1", 2) + make_event("r1", 3)
    work = Work(RequestKind.RESUMED, 3)
    assert is_valid_body(work, "r1", body, first=2)
    assert not is_valid_body(work, "r1", body)


def test_more_joined_streams_than_allowed_are_found() -> None:
    joined = [
        part
        for number in range(MAX_JOINED)
        for part in (
            make_part(f"r{number}", "v1", "v1"),
            make_part(f"r{number}", "v2", taken_up=True),
        )
    ]
    assert not list(find_joined(joined))
    found = list(find_joined([*joined, make_part("r99", "v1", "v2")]))
    assert len(found) == 1
    assert f"{MAX_JOINED + 1} streams" in found[0]


def test_streams_that_older_hosts_go_on_with_do_not_count() -> None:
    begun = [make_part(f"r{n}", "v1", older=True) for n in range(MAX_JOINED + 1)]
    by_newer = [make_part(f"r{n}", "v2", taken_up=True) for n in range(MAX_JOINED + 1)]
    by_older = [
        make_part(f"r{n}", "v2", taken_up=True, older=True)
        for n in range(MAX_JOINED + 1)
    ]
    assert len(list(find_joined(begun + by_newer))) == 1
    assert not list(find_joined(begun + by_older))
    resumed = [
        make_part(f"r{n}", "v1", "v2", older=True) for n in range(MAX_JOINED + 1)
    ]
    assert not list(find_joined(resumed))


def test_take_ups_that_go_on_much_less_often_than_streams_begin_are_found() -> None:
    new = [make_part(f"r{n}", "v1") for n in range(20)]
    lost = [make_part(f"r{n}", taken_up=True) for n in range(MIN_TAKE_UPS)]
    assert len(list(find_lost_take_ups(new + lost))) == 1
    assert not list(find_lost_take_ups(new + lost[1:]))
    gone_on = [make_part(f"r{n}", "v1", taken_up=True) for n in range(MIN_TAKE_UPS)]
    assert not list(find_lost_take_ups(new + lost + gone_on))


def test_take_ups_beside_faults_do_not_count() -> None:
    new = [make_part(f"r{n}", "v1") for n in range(20)]
    lost = [make_part(f"r{n}", taken_up=True, counts=False) for n in range(40)]
    assert not list(find_lost_take_ups(new + lost))
