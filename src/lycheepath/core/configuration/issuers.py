"""
Check of changes to the hosts that may run actions under idempotency keys.

A document that changes these issuers must name the set that it replaces, so
that the new issuers know which hosts to query about older keys. The result of
the check depends on the revision that a host had in force before, and hosts may
have skipped revisions. If the check rejected documents, hosts would disagree on
the revision in force, so it only gives a warning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..actions.issuance import find_unnamed_issuer_changes
from ..environment.findings import Finding

if TYPE_CHECKING:
    from ..environment.model import Environment


def check_issuers(in_force: Environment, following: Environment) -> tuple[Finding, ...]:
    """Return a finding if issuers are replaced that ``previous`` does not name."""
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
