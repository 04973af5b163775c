"""
What one host tells another of the store's content, as JSON.

A copy holds everything or the changes since a revision, decoded, so that the
platform's own words stay out of it. ``age_s`` says how long ago that was known
to be all there is. Anything that can't be read raises CopyError.
"""

from __future__ import annotations

from dataclasses import dataclass
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
    """What another host sent is no copy."""


@dataclass(frozen=True, slots=True)
class CatalogCopy:
    """Everything or changes, and the seconds since that was all there is."""

    content: Snapshot | Delta
    age_s: float


def encode_catalog_copy(copy: CatalogCopy, with_configuration: bool) -> bytes:
    """Return a copy's bytes; the configuration is large and often left out."""
    content = copy.content
    whole = isinstance(content, Snapshot)
    changes: tuple[Change, ...] = (
        content.entries if isinstance(content, Snapshot) else content.changes
    )
    items = [
        _encode_change(change)
        for change in changes
        if with_configuration or not isinstance(change, Configuration)
    ]
    fields = [FORMAT, whole, content.revision, round(copy.age_s, 3), items]
    return orjson.dumps(fields, default=_encode_set)


def decode_catalog_copy(data: bytes) -> CatalogCopy:
    """Return the copy that bytes hold; raises CopyError."""
    try:
        form, whole, revision, age_s, items = orjson.loads(data)
        if form != FORMAT:
            raise CopyError(f"the format {form!r} is unknown")
        changes = tuple(_decode_change(kind, fields) for kind, fields in items)
        content: Snapshot | Delta = Delta(changes, int(revision))
        if whole:
            entries = tuple(
                c for c in changes if not isinstance(c, TargetRemoved | EvacuationEnded)
            )
            content = Snapshot(entries, int(revision))
        return CatalogCopy(content, float(age_s))
    except (ValueError, TypeError, KeyError) as error:
        raise CopyError(f"a copy can't be read: {error}") from error


def _encode_set(value: object) -> list[str]:
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(f"{type(value).__name__} is no part of a copy")


def _encode_change(change: Change) -> list[Any]:
    if isinstance(change, TargetEntry):
        return [TARGET, change]
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
