"""
The store of the configuration values that are in force on one host.

It is pure state without I/O. A valid value of a higher revision is accepted, a
value of a lower revision never. The revision in force with different content
is a conflict: it is reported, and the value in force stays until a higher
revision is offered. An invalid value changes nothing and its findings can be
listed. Acceptance depends only on the value and the order of revisions, so all
hosts that receive the same highest revision agree::

    store = ConfigurationStore(build_readers("bridal"))
    outcome = store.offer("hosts", Offer(7, "", text, "platform"), now)
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..environment.findings import Finding, Findings
from ..environment.model import Environment
from .audit import AuditEvent, AuditRecord, AuditTrail
from .issuers import check_issuers
from .outcomes import (
    Accepted,
    AlreadyInForce,
    Conflict,
    HeldValue,
    Offer,
    Outcome,
    Rejected,
    Stale,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .values import ReadValue, ValueReader

MAX_REMEMBERED_REJECTIONS = 8


class RevisionFellError(AssertionError):
    """A lower or equal revision would have replaced the one in force."""


@dataclass(slots=True)
class _ValueState:
    """The state of one named value."""

    held: HeldValue | None = None
    conflict: Conflict | None = None
    rejections: dict[str, Rejected] = field(default_factory=dict)


class ConfigurationStore:
    """The named values in force and the audit trail of their changes."""

    def __init__(self, readers: Mapping[str, ValueReader]) -> None:
        self._readers = readers
        self._values = {name: _ValueState() for name in readers}
        self.audit = AuditTrail()

    def get(self, name: str) -> HeldValue | None:
        """Return the value in force, or None if none was accepted yet."""
        return self._values[name].held

    def get_conflict(self, name: str) -> Conflict | None:
        """Return the conflict with the revision in force, or None."""
        return self._values[name].conflict

    def list_rejections(self, name: str) -> tuple[Rejected, ...]:
        """Return the rejected offers above the revision in force, oldest first."""
        return tuple(self._values[name].rejections.values())

    def is_newer(self, name: str, revision: int) -> bool:
        """Return whether ``revision`` is higher than the one in force."""
        held = self._values[name].held
        return held is None or revision > held.revision

    def offer(self, name: str, offer: Offer, now: float) -> Outcome:
        """
        Accept or refuse an offered value.

        ``now`` is in seconds and only recorded. Raises KeyError for a name
        without a reader.
        """
        state = self._values[name]
        outcome = self._decide(name, state, offer, now)
        self._record(name, state, offer, outcome, now)
        return outcome

    def _decide(
        self, name: str, state: _ValueState, offer: Offer, now: float
    ) -> Outcome:
        held = state.held
        if held is not None and offer.revision < held.revision:
            return Stale(offer.revision, held)
        if held is not None and offer.revision == held.revision and offer.digest:
            return _compare_digests(held, offer, offer.digest)
        key = _compute_rejection_key(offer)
        remembered = state.rejections.get(key)
        if remembered is not None:
            return remembered
        value = self._read(name, offer)
        if isinstance(value, Findings):
            rejected = Rejected(offer.revision, offer.source, value)
            _remember_rejection(state, key, rejected)
            return rejected
        if held is not None and offer.revision == held.revision:
            return _compare_digests(held, offer, value.digest)
        return self._accept(state, offer, value, now)

    def _read(self, name: str, offer: Offer) -> ReadValue | Findings:
        value = self._readers[name](offer.text)
        if isinstance(value, Findings):
            return value
        if value.revision is not None and value.revision != offer.revision:
            return _report_revision_mismatch(value.revision, offer.revision)
        if offer.digest and value.digest != offer.digest:
            return _report_digest_mismatch()
        return value

    def _accept(
        self, state: _ValueState, offer: Offer, value: ReadValue, now: float
    ) -> Accepted:
        replaced = state.held
        if replaced is not None and offer.revision <= replaced.revision:
            raise RevisionFellError(
                f"{offer.revision} can't replace revision {replaced.revision}"
            )
        held = HeldValue(
            revision=offer.revision,
            digest=value.digest,
            text=offer.text,
            source=offer.source,
            since_s=now,
            content=value.content,
        )
        state.held = held
        state.conflict = None
        state.rejections = _list_rejections_above(state.rejections, held.revision)
        return Accepted(held, replaced, _check_replacement(replaced, held))

    def _record(
        self, name: str, state: _ValueState, offer: Offer, outcome: Outcome, now: float
    ) -> None:
        event = _EVENTS.get(type(outcome))
        if event is None:
            return
        if isinstance(outcome, Conflict):
            state.conflict = outcome
        self.audit.add(
            AuditRecord(
                at_s=now,
                event=event,
                name=name,
                source=offer.source,
                revision=offer.revision,
                from_digest=_find_previous_digest(state, outcome),
                to_digest=_find_offered_digest(offer, outcome),
                view_revision=state.held.revision if state.held else 0,
                view_digest=state.held.digest if state.held else "",
                detail=_describe(outcome),
            )
        )


_EVENTS: dict[type[object], AuditEvent] = {
    Accepted: AuditEvent.ACCEPTED,
    Stale: AuditEvent.STALE,
    Conflict: AuditEvent.CONFLICT,
    Rejected: AuditEvent.REJECTED,
}


def _compare_digests(
    held: HeldValue, offer: Offer, offered_digest: str
) -> AlreadyInForce | Conflict:
    if offered_digest == held.digest:
        return AlreadyInForce(held)
    return Conflict(held, offered_digest, offer.source)


def _compute_rejection_key(offer: Offer) -> str:
    """
    Return the key under which a rejection of this offer is remembered.

    The key covers the text and not only the digest that the source claims.
    Otherwise invalid text offered under the digest of valid content would
    also have the valid content rejected.
    """
    claim = f"{offer.revision} {offer.digest} ".encode()
    return hashlib.sha256(claim + offer.text).hexdigest()


def _remember_rejection(state: _ValueState, key: str, rejected: Rejected) -> None:
    state.rejections[key] = rejected
    while len(state.rejections) > MAX_REMEMBERED_REJECTIONS:
        del state.rejections[next(iter(state.rejections))]


def _list_rejections_above(
    rejections: dict[str, Rejected], revision: int
) -> dict[str, Rejected]:
    return {
        key: rejected
        for key, rejected in rejections.items()
        if rejected.offered_revision > revision
    }


def _check_replacement(
    replaced: HeldValue | None, held: HeldValue
) -> tuple[Finding, ...]:
    if replaced is None:
        return ()
    before, after = replaced.content, held.content
    if isinstance(before, Environment) and isinstance(after, Environment):
        return check_issuers(before, after)
    return ()


def _report_revision_mismatch(found: int, offered: int) -> Findings:
    finding = Finding(
        "/revision",
        1,
        f"the document says revision {found} and was published as {offered}",
        "Publish it under its own revision",
    )
    return Findings((finding,))


def _report_digest_mismatch() -> Findings:
    finding = Finding(
        "", 1, "the content does not match its digest", "Fetch it from another source"
    )
    return Findings((finding,))


def _find_previous_digest(state: _ValueState, outcome: Outcome) -> str:
    if isinstance(outcome, Accepted):
        return outcome.replaced.digest if outcome.replaced else ""
    return state.held.digest if state.held else ""


def _find_offered_digest(offer: Offer, outcome: Outcome) -> str:
    if isinstance(outcome, Accepted):
        return outcome.held.digest
    if isinstance(outcome, Conflict):
        return outcome.offered_digest
    return offer.digest


def _describe(outcome: Outcome) -> str:
    if isinstance(outcome, Rejected):
        return f"{len(outcome.findings.items)} findings"
    if isinstance(outcome, Accepted):
        return "; ".join(warning.message for warning in outcome.warnings)
    return ""
