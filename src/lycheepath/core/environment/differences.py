"""
The differences between two environment documents, as data and in words.

Records are matched by their identity, so that reordering a list is no
difference::

    for difference in compare_environments(trial, production):
        print(difference.describe())
"""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from enum import Enum
from typing import TYPE_CHECKING

from .model import Environment, Limit, Link
from .reading import dump_value

if TYPE_CHECKING:
    from collections.abc import Iterator


class Change(Enum):
    """What happened to a record or a member."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """
    One difference.

    ``subject`` names the record in words, like ``target accra-runner-1``, and
    is empty for a member of the document itself. ``before`` and ``after`` are
    JSON texts; a record that is added or removed has only one of them.
    """

    change: Change
    subject: str
    member: str = ""
    before: str = ""
    after: str = ""

    def describe(self) -> str:
        """Return the difference as one line for people."""
        if self.change is Change.ADDED:
            return f"{self.subject} is added: {self.after}"
        if self.change is Change.REMOVED:
            return f"{self.subject} is removed: {self.before}"
        place = f"{self.subject}: {self.member}" if self.subject else self.member
        return f"{place} changes from {self.before} to {self.after}"


def compare_environments(
    before: Environment, after: Environment
) -> tuple[Difference, ...]:
    """Return what changes from one document to the other, in its order."""
    found: list[Difference] = []
    for member in fields(Environment):
        old = getattr(before, member.name)
        new = getattr(after, member.name)
        if old == new:
            continue
        if member.name in _KINDS:
            found.extend(_compare_lists(_KINDS[member.name], old, new))
        else:
            found.append(_compare_values("", member.name, old, new))
    return tuple(found)


def _compare_lists(
    kind: str, before: tuple[object, ...], after: tuple[object, ...]
) -> Iterator[Difference]:
    old = {_identify(record): record for record in before}
    new = {_identify(record): record for record in after}
    for identity, record in old.items():
        if identity not in new:
            subject = f"{kind} {identity}"
            yield Difference(Change.REMOVED, subject, before=_write(record))
    for identity, record in new.items():
        subject = f"{kind} {identity}"
        if identity not in old:
            yield Difference(Change.ADDED, subject, after=_write(record))
        elif record != old[identity]:
            yield from _compare_records(subject, old[identity], record)


def _compare_records(
    subject: str, before: object, after: object
) -> Iterator[Difference]:
    for member in fields(before):  # type: ignore[arg-type]
        old = getattr(before, member.name)
        new = getattr(after, member.name)
        if old != new:
            yield _compare_values(subject, member.name, old, new)


def _compare_values(
    subject: str, member: str, before: object, after: object
) -> Difference:
    return Difference(Change.CHANGED, subject, member, _write(before), _write(after))


def _identify(record: object) -> str:
    if isinstance(record, Limit):
        return record.team
    if isinstance(record, Link):
        return " - ".join(sorted(record.regions))
    return str(record.id)  # type: ignore[attr-defined]


def _write(value: object) -> str:
    return json.dumps(dump_value(value))


_KINDS = {
    "regions": "region",
    "zones": "zone",
    "hosts": "host",
    "targets": "target",
    "models": "model",
    "services": "service",
    "links": "link",
    "residency": "residency rule",
    "limits": "limit of team",
}
