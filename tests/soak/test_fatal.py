from __future__ import annotations

from soak.fatal import (
    COUNTED_END,
    FATAL_PART,
    MAX_LATE,
    FatalArrival,
    find_late,
    has_fatal_part,
    write_prompt_headers,
)
from soak.limits import CONTACT_S


def arrive(*times: float, host: str = "h1") -> list[FatalArrival]:
    return [FatalArrival(at, f"r{at}", host) for at in times]


def test_more_requests_than_allowed_after_the_fifth_end_are_found() -> None:
    ends = arrive(*range(COUNTED_END))
    since = COUNTED_END - 1 + CONTACT_S
    late = arrive(*(since + 1.0 + n for n in range(MAX_LATE)))
    assert not list(find_late(ends + late))
    found = list(find_late(ends + late + arrive(since + 0.5)))
    assert len(found) == 1
    assert f"{MAX_LATE + 1} requests" in found[0]


def test_requests_of_hosts_with_a_fault_do_not_count() -> None:
    ends = arrive(*range(COUNTED_END))
    assert not list(find_late(ends + arrive(*range(20, 40), host="")))


def test_few_ends_break_nothing() -> None:
    assert not list(find_late(arrive(*range(0, 400, 100))))


def test_last_part_of_a_prompt_is_not_fatal() -> None:
    headers = dict(
        line.split(": ") for line in write_prompt_headers(("a", FATAL_PART), "r1")
    )
    assert has_fatal_part(headers["Prompt-Prefix"])
    assert not has_fatal_part(f"a:50,{FATAL_PART}:50")
    assert not has_fatal_part("")
