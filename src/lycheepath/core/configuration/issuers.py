"""
Changes of the hosts that may run actions under callers' idempotency keys.

A document that changes them must name the set that it replaces, so that the
new issuers know whom to ask about older keys. Whether it does depends on what
a host had in force before, and hosts may have skipped revisions. Refusing the
document by it would split the fleet, so it is a warning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions.issuance import find_unnamed_issuer_changes
from ..environment.findings import Finding

if TYPE_CHECKING:
    from ..environment.model import Environment


def check_issuers(in_force: Environment, following: Environment) -> tuple[Finding, ...]:
    """Return the finding about issuers that change without being named."""
    regions = find_unnamed_issuer_changes(in_force, following)
    if not regions:
        return ()
    finding = Finding(
        "/issuers/previous",
        1,
        f"the issuers in {', '.join(regions)} change from revision "
        f"{in_force.revision}, and previous does not name all that they replace",
        "Name in issuers.previous every issuer of the revision in force",
    )
    return (finding,)
