"""
Copies of the catalog that one host sends to another, as JSON.

A copy holds a complete snapshot, or the changes since a revision. It is encoded from
the types of ``core``, so that it doesn't depend on the formats of the platform.
``age_s`` is the time since the copy was known to be current. Copies of another format
raise CopyError; a change of this format with a value out of its range is decoded as an
UnreadableEntry, as it would be from the store.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import TYPE_CHECKING, Any

import orjson

from ..core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
    UnreadableEntry,
)
from ..core.catalog.checks import MAX_REVISION, check_configuration, check_entry
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
from ..core.catalog.teams import Team, TeamLimit
from ..core.json_values import (
    describe,
    describe_error,
    read_integer,
    read_name,
    read_number,
    read_serial,
    shorten,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.catalog.changes import Change

FORMAT = 1
TARGET, REMOVED, EVACUATED, EVACUATION_ENDED, CONFIGURATION = range(5)
# Fields of a target's entry, and those that hosts of some earlier versions leave out.
TARGET_FIELDS = frozenset(field.name for field in fields(TargetEntry))
OPTIONAL_TARGET_FIELDS = frozenset({"leaves_in_s", "version", "restarted_at"})
# Fields of a service that hosts of earlier versions can't decode.
NEW_SERVICE_FIELDS = ("cold_start_s", "health_path")


class CopyError(ValueError):
    """The data sent by another host isn't a valid copy."""


@dataclass(frozen=True, slots=True)
class CatalogCopy:
    """
    A snapshot or changes, and the seconds since they were known to be current.

    ``known_version`` is the highest version of a configuration that the sender knows of,
    None if it doesn't know or is of an earlier version.
    """

    content: Snapshot | Delta
    age_s: float
    known_version: int | None = None


def encode_catalog_copy(
    copy: CatalogCopy,
    with_configuration: bool,
    with_versions: bool = True,
    with_era: bool = True,
    with_teams: bool = True,
) -> bytes:
    """
    Encode a copy; the configuration is large and included only if requested.

    Hosts that don't request the targets' versions can't decode entries that have them,
    and hosts that don't state their era can't decode a copy with one, nor services with
    ``NEW_SERVICE_FIELDS``. Hosts that don't request teams can't decode routes that say
    whether they are open to all, nor a copy with ``known_version`` as its last value.
    """
    content = copy.content
    is_snapshot = isinstance(content, Snapshot)
    changes: tuple[Change, ...] = (
        content.entries if isinstance(content, Snapshot) else content.changes
    )
    items = [
        _encode_change(change, with_versions, with_era, with_teams)
        for change in changes
        if with_configuration or not isinstance(change, Configuration)
    ]
    values = [FORMAT, is_snapshot, content.revision, round(copy.age_s, 3), items]
    if with_era:
        values.append(content.era)
    if with_era and with_teams:
        values.append(copy.known_version)
    return orjson.dumps(values, default=_encode_set)


def decode_catalog_copy(data: bytes) -> CatalogCopy:
    """Decode a copy; raises CopyError."""
    try:
        version, is_snapshot, revision, age_s, items, *rest = orjson.loads(data)
        if version != FORMAT:
            raise CopyError(f"expected format {FORMAT}, found {describe(version)}")
        revision = read_integer(revision, 0, MAX_REVISION)
        # Hosts of earlier versions don't send the era.
        era = read_integer(rest[0], 0) if rest else 0
        known_version = rest[1] if len(rest) > 1 else None
        if known_version is not None:
            known_version = read_serial(known_version)
        changes = tuple(_decode_change(kind, value) for kind, value in items)
        content: Snapshot | Delta = Delta(changes, revision, era)
        if is_snapshot:
            entries = tuple(
                c for c in changes if not isinstance(c, TargetRemoved | EvacuationEnded)
            )
            content = Snapshot(entries, revision, era)
        return CatalogCopy(content, read_number(age_s), known_version)
    except (ValueError, TypeError) as error:
        raise CopyError(f"a copy can't be read: {describe_error(error)}") from error


def _encode_set(value: object) -> list[str]:
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(f"{type(value).__name__} is no part of a copy")


def _encode_change(
    change: Change, with_versions: bool, with_services: bool, with_teams: bool
) -> list[Any]:
    if isinstance(change, TargetEntry):
        if with_versions:
            return [TARGET, change]
        values = asdict(change)
        del values["version"]
        return [TARGET, values]
    if isinstance(change, TargetRemoved):
        return [REMOVED, change.id]
    if isinstance(change, Evacuation):
        return [EVACUATED, change.zone]
    if isinstance(change, EvacuationEnded):
        return [EVACUATION_ENDED, change.zone]
    if isinstance(change, Configuration):
        if with_services and with_teams:
            return [CONFIGURATION, change]
        return [CONFIGURATION, _omit_new(change, with_services, with_teams)]
    raise TypeError(f"{type(change).__name__} is no part of a copy")


def _omit_new(
    configuration: Configuration, with_services: bool, with_teams: bool
) -> dict[str, Any]:
    """Return a configuration as hosts of earlier versions can decode it."""
    values = asdict(configuration)
    if not with_services:
        for service in values["services"].values():
            for name in NEW_SERVICE_FIELDS:
                del service[name]
    if not with_teams:
        del values["teams"]
        for route in values["routes"]:
            del route["open_to_all"]
    return values


def _decode_change(kind: Any, value: Any) -> Change:
    """Decode a change; whatever reading its values raises concerns it alone."""
    decode = _DECODERS.get(kind)
    if decode is None:
        raise CopyError(f"expected the kind of a change, found {describe(kind)}")
    try:
        return decode(value)
    except CopyError:
        raise
    except Exception as error:
        key = value.get("id") if isinstance(value, dict) else value
        name = shorten(key) if isinstance(key, str) else ""
        return UnreadableEntry(name, describe_error(error))


def _decode_target(value: Any) -> TargetEntry:
    # Other fields are those of another version's format, which this host can't apply.
    if not (
        isinstance(value, dict)
        and TARGET_FIELDS - OPTIONAL_TARGET_FIELDS <= value.keys() <= TARGET_FIELDS
    ):
        raise CopyError(f"expected the fields of a target, found {describe(value)}")
    return check_entry(TargetEntry(**value))


def _decode_configuration(value: Any) -> Configuration:
    try:
        configuration = _build_configuration(value)
    except (AttributeError, KeyError, TypeError) as error:
        reason = describe_error(error)
        raise CopyError(f"a configuration can't be read: {reason}") from error
    return check_configuration(configuration)


def _build_configuration(value: dict[str, Any]) -> Configuration:
    return Configuration(
        version=value["version"],
        routes=tuple(_decode_route(route) for route in value["routes"]),
        services={
            name: _decode_service(service)
            for name, service in value["services"].items()
        },
        limits=CallerLimits(**value["limits"]),
        teams=_decode_teams(value.get("teams")),
    )


def _decode_route(value: dict[str, Any]) -> Route:
    shares = tuple(ServiceShare(**share) for share in value["services"])
    changed = {
        "kind": RouteKind(value["kind"]),
        "services": shares,
        "home_regions": frozenset(value["home_regions"]),
    }
    return Route(**(value | changed))


def _decode_teams(values: list[dict[str, Any]] | None) -> tuple[Team, ...] | None:
    return None if values is None else tuple(_decode_team(value) for value in values)


def _decode_team(value: dict[str, Any]) -> Team:
    limit = value["limit"]
    changed = {
        "key_digests": tuple(value["key_digests"]),
        "home_regions": frozenset(value["home_regions"]),
        "limit": limit and TeamLimit(**limit),
    }
    return Team(**(value | changed))


def _decode_service(value: dict[str, Any]) -> Service:
    engine = value["engine"]
    return Service(**(value | {"engine": engine and EngineFacts(**engine)}))


_DECODERS: dict[Any, Callable[[Any], Change]] = {
    TARGET: _decode_target,
    REMOVED: lambda value: TargetRemoved(read_name(value)),
    EVACUATED: lambda value: Evacuation(read_name(value)),
    EVACUATION_ENDED: lambda value: EvacuationEnded(read_name(value)),
    CONFIGURATION: _decode_configuration,
}
