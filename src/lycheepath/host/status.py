"""Describes a host to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .. import __version__

if TYPE_CHECKING:
    from .node import Node


def describe_status(node: Node) -> dict[str, Any]:
    """Return the state of a host as plain values."""
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
        "vouches_for_keys": node.vouching.established,
        "claims": len(node.ledger),
        "members": {
            host: state.value for host, state in sorted(node.member_states().items())
        },
    }
