"""
The differences between two environment documents.

Records are matched by their identity, so reordering a list is not a
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
    """The kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """
    One difference.

    ``subject`` names the kind and identity of the record, like
    ``target accra-runner-1``; it is empty for a member of the document itself.
    ``before`` and ``after`` are JSON texts; a record that is added or removed
    has only one of them.
    """

    change: Change
    subject: str
    member: str = ""
    before: str = ""
    after: str = ""

    def describe(self) -> str:
        """Return the difference as one readable line."""
        if self.change is Change.ADDED:
            return f"{self.subject} is added: {self.after}"
        if self.change is Change.REMOVED:
            return f"{self.subject} is removed: {self.before}"
        label = f"{self.subject}: {self.member}" if self.subject else self.member
        return f"{label} changes from {self.before} to {self.after}"


def compare_environments(
    before: Environment, after: Environment
) -> tuple[Difference, ...]:
    """Return the differences in the order of the document's members."""
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
            yield Difference(Change.REMOVED, subject, before=_to_json(record))
    for identity, record in new.items():
        subject = f"{kind} {identity}"
        if identity not in old:
            yield Difference(Change.ADDED, subject, after=_to_json(record))
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
    return Difference(
        Change.CHANGED, subject, member, _to_json(before), _to_json(after)
    )


def _identify(record: object) -> str:
    if isinstance(record, Limit):
        return record.team
    if isinstance(record, Link):
        return " - ".join(sorted(record.regions))
    return str(record.id)  # type: ignore[attr-defined]


def _to_json(value: object) -> str:
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
