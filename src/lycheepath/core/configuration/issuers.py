"""
Changes of the hosts that may run actions under callers' idempotency keys.

A document that changes them must name the set that it replaces, so that the
new issuers know whom to ask about older keys. Whether it does depends on what
a host had in force before, and hosts may have skipped revisions. Refusing the
document by it would split the fleet, so it is a warning that names the hosts
that the document forgot; the host that saw them in force must go on treating
them as previous issuers until the resend window is over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..environment.findings import Finding

if TYPE_CHECKING:
    from ..environment.model import Environment


def list_issuers(environment: Environment) -> frozenset[str]:
    """Return the ids of the issuers; no list means all hosts."""
    if environment.issuers.hosts:
        return frozenset(environment.issuers.hosts)
    return frozenset(host.id for host in environment.hosts)


def find_unnamed_issuers(
    in_force: Environment, following: Environment
) -> frozenset[str]:
    """Return the issuers in force that ``following`` drops without naming them."""
    before = list_issuers(in_force)
    if before == list_issuers(following):
        return frozenset()
    return before - frozenset(following.issuers.previous)


def check_issuers(in_force: Environment, following: Environment) -> tuple[Finding, ...]:
    """Return the finding about issuers that change without being named."""
    unnamed = find_unnamed_issuers(in_force, following)
    if not unnamed:
        return ()
    shown = ", ".join(sorted(unnamed)[:5]) + (", ..." if len(unnamed) > 5 else "")
    finding = Finding(
        "/issuers/previous",
        1,
        f"the issuers change from revision {in_force.revision}, and previous "
        f"does not name {shown}",
        "Name in issuers.previous every issuer of the revision in force",
    )
    return (finding,)
