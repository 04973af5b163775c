"""
Copies of the catalog that one host sends to another, as JSON.

A copy holds a complete snapshot, or the changes since a revision. It is encoded from
the types of ``core``, so that it doesn't depend on the formats of the platform.
``age_s`` is the time since the copy was known to be current. Invalid copies raise
CopyError.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
)
from ..core.catalog.model import (
    CallerLimits,
    Configuration,
    EngineFacts,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    TargetEntry,
)

if TYPE_CHECKING:
    from ..core.catalog.changes import Change

FORMAT = 1
TARGET, REMOVED, EVACUATED, EVACUATION_ENDED, CONFIGURATION = range(5)


class CopyError(ValueError):
    """The data sent by another host isn't a valid copy."""


@dataclass(frozen=True, slots=True)
class CatalogCopy:
    """A snapshot or changes, and the seconds since they were known to be current."""

    content: Snapshot | Delta
    age_s: float


def encode_catalog_copy(
    copy: CatalogCopy, with_configuration: bool, with_versions: bool = True
) -> bytes:
    """
    Encode a copy; the configuration is large and included only if requested.

    Hosts that don't request the targets' versions can't decode entries that have them.
    """
    content = copy.content
    is_snapshot = isinstance(content, Snapshot)
    changes: tuple[Change, ...] = (
        content.entries if isinstance(content, Snapshot) else content.changes
    )
    items = [
        _encode_change(change, with_versions)
        for change in changes
        if with_configuration or not isinstance(change, Configuration)
    ]
    fields = [FORMAT, is_snapshot, content.revision, round(copy.age_s, 3), items]
    return orjson.dumps(fields, default=_encode_set)


def decode_catalog_copy(data: bytes) -> CatalogCopy:
    """Decode a copy; raises CopyError."""
    try:
        version, is_snapshot, revision, age_s, items = orjson.loads(data)
        if version != FORMAT:
            raise CopyError(f"the format {version!r} is unknown")
        changes = tuple(_decode_change(kind, fields) for kind, fields in items)
        content: Snapshot | Delta = Delta(changes, int(revision))
        if is_snapshot:
            entries = tuple(
                c for c in changes if not isinstance(c, TargetRemoved | EvacuationEnded)
            )
            content = Snapshot(entries, int(revision))
        return CatalogCopy(content, float(age_s))
    except (OverflowError, ValueError, TypeError, KeyError) as error:
        raise CopyError(f"a copy can't be read: {error}") from error


def _encode_set(value: object) -> list[str]:
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(f"{type(value).__name__} is no part of a copy")


def _encode_change(change: Change, with_versions: bool) -> list[Any]:
    if isinstance(change, TargetEntry):
        if with_versions:
            return [TARGET, change]
        fields = asdict(change)
        del fields["version"]
        return [TARGET, fields]
    if isinstance(change, TargetRemoved):
        return [REMOVED, change.id]
    if isinstance(change, Evacuation):
        return [EVACUATED, change.zone]
    if isinstance(change, EvacuationEnded):
        return [EVACUATION_ENDED, change.zone]
    if isinstance(change, Configuration):
        return [CONFIGURATION, change]
    raise TypeError(f"{type(change).__name__} is no part of a copy")


def _decode_change(kind: int, value: Any) -> Change:
    if kind == TARGET:
        return TargetEntry(**value)
    if kind == REMOVED:
        return TargetRemoved(str(value))
    if kind == EVACUATED:
        return Evacuation(str(value))
    if kind == EVACUATION_ENDED:
        return EvacuationEnded(str(value))
    if kind == CONFIGURATION:
        return _decode_configuration(value)
    raise CopyError(f"a change of the kind {kind!r} is unknown")


def _decode_configuration(value: dict[str, Any]) -> Configuration:
    return Configuration(
        version=value["version"],
        routes=tuple(_decode_route(route) for route in value["routes"]),
        services={
            name: _decode_service(service)
            for name, service in value["services"].items()
        },
        limits=CallerLimits(**value["limits"]),
    )


def _decode_route(value: dict[str, Any]) -> Route:
    shares = tuple(ServiceShare(**share) for share in value["services"])
    changed = {
        "kind": RouteKind(value["kind"]),
        "services": shares,
        "home_regions": frozenset(value["home_regions"]),
    }
    return Route(**(value | changed))


def _decode_service(value: dict[str, Any]) -> Service:
    engine = value["engine"]
    return Service(**(value | {"engine": engine and EngineFacts(**engine)}))
