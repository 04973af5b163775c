"""Checks the outcomes that callers observed against the delivery guarantees."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.caller import Kind, Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

MIN_COMPLETE_SHARE = 0.9
INTERNAL_ERROR_STATUS = 500


def list_violations(
    chats: Sequence[Outcome],
    bookings: Mapping[str, Outcome],
    executions: Mapping[str, int],
    killed_addresses: frozenset[str],
) -> list[str]:
    """Return a line for each violated guarantee."""
    return [
        *_check_complete_share(chats),
        *_check_answers([*chats, *bookings.values()], killed_addresses),
        *_check_executions(bookings, executions),
    ]


def list_failed_deposits(
    bookings: Mapping[str, Outcome], names: Iterable[str]
) -> list[str]:
    """Return a line for each named deposit that was not answered as done."""
    return [
        f"{name} was not made: {bookings.get(name)}"
        for name in names
        if name not in bookings or bookings[name].kind is not Kind.WHOLE
    ]


def _check_complete_share(chats: Sequence[Outcome]) -> Iterator[str]:
    whole = sum(outcome.kind is Kind.WHOLE for outcome in chats)
    if whole < MIN_COMPLETE_SHARE * len(chats):
        yield f"only {whole} of {len(chats)} chats were answered whole"


def _check_answers(
    outcomes: Iterable[Outcome], killed_addresses: frozenset[str]
) -> Iterator[str]:
    for outcome in outcomes:
        if outcome.status == INTERNAL_ERROR_STATUS:
            yield f"{outcome.address} failed inside: {outcome.detail}"
        if outcome.kind is Kind.WRONG:
            yield f"a wrong answer from {outcome.address}: {outcome.detail}"
        if outcome.kind is Kind.BROKEN and outcome.address not in killed_addresses:
            yield f"{outcome.address} broke a connection: {outcome.detail}"


def _check_executions(
    bookings: Mapping[str, Outcome], executions: Mapping[str, int]
) -> Iterator[str]:
    for key, count in executions.items():
        if count > 1:
            yield f"{key} was executed {count} times"
    for key, outcome in bookings.items():
        count = executions.get(key, 0)
        if outcome.kind is Kind.WHOLE and count != 1:
            yield f"{key} was answered as done, but executed {count} times"
        if outcome.kind is Kind.REFUSED and count:
            yield f"{key} was answered as not run, but executed"
