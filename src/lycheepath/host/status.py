"""Describes the state of a host for operators."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from .. import __version__

if TYPE_CHECKING:
    from ..core.configuration.audit import AuditRecord
    from .node import Node


def describe_status(node: Node) -> dict[str, Any]:
    """Return the state of a host as JSON values."""
    environment = node.environment
    return {
        "version": __version__,
        "host": node.settings.host,
        "zone": node.settings.zone,
        "region": node.settings.region,
        "incarnation": node.owner.incarnation,
        "ready": node.ready,
        "draining": node.draining,
        "environment": None if environment is None else environment.name,
        "stage": None if environment is None else environment.stage.value,
        "revision": None if environment is None else environment.revision,
        "in_flight": node.in_flight,
        "reads_platform": node.is_platform_reader(),
        "configuration": {
            name: _describe_value(node, name) for name in node.value_names
        },
        "leaving_targets": sorted(node.draining_targets | node.listed_draining_targets),
        "vouches_for_keys": node.attestation.established,
        "keys_wait_s": _read_keys_wait(node),
        "claims": len(node.ledger),
        "members": {
            host: state.value for host, state in sorted(node.member_states().items())
        },
    }


def describe_audit_record(record: AuditRecord) -> dict[str, Any]:
    """Return a record of the configuration's audit trail as JSON values."""
    return {**asdict(record), "event": record.event.value}


def _read_keys_wait(node: Node) -> float | None:
    if node.environment is None:
        return None
    return round(
        node.attestation.compute_handover_wait_s(node.environment, node.now()), 3
    )


def _describe_value(node: Node, name: str) -> dict[str, Any]:
    held = node.configuration.get(name)
    conflict = node.configuration.get_conflict(name)
    return {
        "revision": None if held is None else held.revision,
        "digest": None if held is None else held.digest,
        "source": None if held is None else held.source,
        "conflict": None if conflict is None else conflict.offered_digest,
        "rejected": [
            {
                "revision": rejected.offered_revision,
                "source": rejected.source,
                "findings": [item.describe() for item in rejected.findings.items],
            }
            for rejected in node.configuration.list_rejections(name)
        ],
    }
