"""
Checks of entries that other writers of the store, or other hosts, left.

What passes can be used without further checks: sent to other hosts, estimated with, put
into headers, metrics and log lines. A value out of its range raises ``ValueError`` with
the field's name.
"""

from __future__ import annotations

import re
from functools import lru_cache
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

from ..addresses import parse_address
from ..json_values import (
    MAX_INTEGER,
    describe,
    read_flag,
    read_integer,
    read_name,
    read_number,
    read_text,
)
from .model import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from .model import Configuration, EngineFacts, Route, TargetEntry
    from .teams import Team

# Largest number of slots of a target; none has as many.
MAX_SLOTS = 1_000_000
# Largest time in an entry, in seconds: some 30 years.
MAX_TIME_S = 1e9
# Largest revision of a store, as a 64-bit integer with a sign.
MAX_REVISION = 2**63 - 1
# Largest priority number and number of attempts of a route.
MAX_SMALL_NUMBER = 2**31 - 1
# Largest size of a path prefix in UTF-8, in bytes.
MAX_PREFIX_BYTES = 4096
# A SHA-256 digest in hexadecimal.
DIGEST = re.compile("[0-9a-f]{64}")
# Number of addresses whose check is remembered, as each is announced again and again.
REMEMBERED_ADDRESSES = 4096


def check_entry(entry: TargetEntry) -> TargetEntry:
    """Return an entry whose fields are all of their types and within their ranges."""
    _check(entry, read_name, "id", "service", "zone")
    if entry.version != "":
        _check(entry, read_name, "version")
    _check(entry, _read_address, "address")
    _check(entry, _read_slots, "slots")
    _check(entry, read_flag, "draining")
    _check(entry, _read_time, "cold_s")
    if entry.leaves_in_s is not None:
        _check(entry, _read_time, "leaves_in_s")
    _check(entry, _read_count, "sequence", "born_ms")
    _check(entry, _read_revision, "restarted_at")
    return entry


def check_configuration(configuration: Configuration) -> Configuration:
    """Return a configuration whose values are of their types and in their ranges."""
    _check(configuration, _read_count, "version")
    for route in configuration.routes:
        _check_route(route)
    for name, service in configuration.services.items():
        read_name(name)
        _check(service, read_name, "name")
        _check(service, _read_count, "max_connections")
        _check(service, _read_amount, "cold_per_s")
        _check(service, _read_time, "cold_start_s")
        if service.health_path != "":
            _check(service, _read_path, "health_path")
        if service.engine is not None:
            _check_engine(service.engine)
    for team in configuration.teams or ():
        _check_team(team)
    limits = configuration.limits
    _check(limits, lambda value: read_integer(value, 1), "head_bytes", "body_bytes")
    _check(limits, _read_duration, "head_s", "idle_s")
    return configuration


def _check_route(route: Route) -> None:
    if route.name != "":
        _check(route, read_name, "name")
    _check(route, read_name, "host")
    _check(route, lambda value: read_name(value, MAX_PREFIX_BYTES), "prefix")
    if not isinstance(route.kind, RouteKind):
        raise ValueError(f"kind: expected a kind, found {describe(route.kind)}")
    if not route.services:
        raise ValueError("services: expected a service, found none")
    for share in route.services:
        _check(share, read_name, "service")
        _check(share, _read_amount, "weight")
    _check(route, _read_duration, "timeout_s", "aim_s")
    _check(route, _read_time, "gap_aim_s")
    _check(route, lambda value: read_integer(value, 0, MAX_SMALL_NUMBER), "urgency")
    _check(
        route, lambda value: read_integer(value, 1, MAX_SMALL_NUMBER), "max_attempts"
    )
    _check(route, read_flag, "resumable", "open_to_all")
    for region in route.home_regions:
        read_name(region)


def _check_team(team: Team) -> None:
    _check(team, read_name, "name")
    for digest in team.key_digests:
        if not DIGEST.fullmatch(read_text(digest)):
            raise ValueError("key_digests: expected SHA-256 digests in hexadecimal")
    if team.urgency is not None:
        _check(team, lambda value: read_integer(value, 0, MAX_SMALL_NUMBER), "urgency")
    for region in team.home_regions:
        read_name(region)
    if team.limit is not None:
        _check(team.limit, _read_amount, "rate", "burst", "plain_tokens")
        _check(team.limit, read_flag, "counts_tokens")


def _check_engine(engine: EngineFacts) -> None:
    _check(engine, _read_count, "slots", "kv_tokens")
    _check(engine, lambda value: read_integer(value, 1), "event_tokens")
    _check(engine, _read_amount, "fetch_token_s")


def _check(record: Any, read: Callable[[Any], Any], *names: str) -> None:
    """Check fields of a record; integers must be written without a fraction."""
    for name in names:
        value = getattr(record, name)
        try:
            checked = read(value)
        except ValueError as error:
            raise ValueError(f"{name}: {error}") from error
        if isinstance(checked, int) and isinstance(value, float):
            raise ValueError(f"{name}: expected an integer, found {value!r}")


def _read_path(value: Any) -> str:
    path = read_name(value, MAX_PREFIX_BYTES)
    if not path.startswith("/") or not path.isascii() or " " in path:
        raise ValueError(f"expected a path, found {describe(path)}")
    return path


def _read_slots(value: Any) -> int:
    return read_integer(value, 1, MAX_SLOTS)


def _read_revision(value: Any) -> int:
    return read_integer(value, 0, MAX_REVISION)


def _read_count(value: Any) -> int:
    return read_integer(value, 0, MAX_INTEGER)


def _read_time(value: Any) -> float:
    return read_number(value, -MAX_TIME_S, MAX_TIME_S)


def _read_duration(value: Any) -> float:
    # The smallest time that the configuration's milliseconds can state.
    return read_number(value, 1e-6, MAX_TIME_S)


def _read_amount(value: Any) -> float:
    return read_number(value, 0.0)


def _read_address(value: Any) -> str:
    return _read_address_text(read_text(value))


@lru_cache(REMEMBERED_ADDRESSES)
def _read_address_text(text: str) -> str:
    ip_address(parse_address(read_name(text)).ip)
    return text
