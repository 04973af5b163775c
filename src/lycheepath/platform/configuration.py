"""Decodes the operator's configuration, which the store holds as one value."""

from __future__ import annotations

from typing import Any

from ..core.catalog.model import (
    CallerLimits,
    Configuration,
    EngineFacts,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from ..core.catalog.teams import Team, TeamLimit, digest_key
from ..core.json_values import describe

# Timeout of a route that sets none, in ms.
DEFAULT_TIMEOUT_MS = 600_000
# Priority of a route that sets none; 0 is the highest.
DEFAULT_PRIORITY = 5

KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


def read_configuration(value: dict[str, Any]) -> Configuration:
    """Return the configuration; raises an error on a wrong field."""
    services = [_read_service(entry) for entry in value["services"]]
    return Configuration(
        version=int(value["version"]),
        routes=tuple(_read_route(entry) for entry in value["routes"]),
        services={service.name: service for service in services},
        limits=_read_limits(value.get("limits") or {}),
        teams=_read_teams(value.get("tenants")),
    )


def _read_route(entry: dict[str, Any]) -> Route:
    timeout_s = float(entry.get("timeout_ms") or DEFAULT_TIMEOUT_MS) / 1000.0
    return Route(
        name=str(entry.get("name", "")),
        host=entry["host"].lower(),
        prefix=entry["prefix"],
        kind=KINDS[entry["kind"]],
        services=_read_shares(entry),
        timeout_s=timeout_s,
        aim_s=float(entry.get("target_latency_ms") or timeout_s * 1000.0) / 1000.0,
        gap_aim_s=float(entry.get("gap_aim_ms") or 0.0) / 1000.0,
        urgency=int(entry.get("priority", DEFAULT_PRIORITY)),
        max_attempts=max(1, int(entry.get("max_attempts") or 1)),
        resumable=bool(entry.get("resumable")),
        home_regions=_read_regions(entry.get("home_regions")),
        open_to_all=bool(entry.get("allow_anonymous")),
    )


def _read_regions(regions: Any) -> frozenset[str]:
    if regions is not None and not isinstance(regions, list):
        raise ValueError(f"expected a list of regions, found {describe(regions)}")
    return frozenset(regions or ())


def _read_teams(entries: Any) -> tuple[Team, ...] | None:
    if entries is None:
        return None
    if not isinstance(entries, list):
        raise ValueError(f"expected a list of tenants, found {describe(entries)}")
    return tuple(_read_team(entry) for entry in entries)


def _read_team(entry: dict[str, Any]) -> Team:
    priority = entry.get("priority")
    return Team(
        name=entry["name"],
        key_digests=_read_keys(entry.get("api_keys") or []),
        urgency=None if priority is None else int(priority),
        home_regions=_read_regions(entry.get("home_regions")),
        limit=_read_team_limit(entry),
    )


def _read_keys(keys: Any) -> tuple[str, ...]:
    """Return the digests of keys; errors don't show the keys."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError("api_keys: expected a list of texts")
    return tuple(digest_key(key.encode("utf-8", "replace")) for key in keys)


def _read_team_limit(entry: dict[str, Any]) -> TeamLimit | None:
    rate = float(entry.get("rate_per_s") or 0.0)
    if rate <= 0.0:
        return None
    return TeamLimit(
        rate=rate,
        burst=float(entry.get("burst") or 0.0),
        counts_tokens=entry.get("unit") == "tokens",
        plain_tokens=float(entry.get("plain_tokens") or 0.0),
    )


def _read_shares(entry: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = entry.get("traffic_split")
    if not split:
        return (ServiceShare(entry["service"], 1.0),)
    return tuple(ServiceShare(s["service"], float(s["weight"])) for s in split)


def _read_service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine")
    return Service(
        name=entry["name"],
        # Connections that one target accepts from all hosts together.
        max_connections=int(entry.get("max_connections") or 0),
        cold_per_s=float(entry.get("cold_per_s") or 0.0),
        engine=_read_engine(engine) if engine else None,
        cold_start_s=float(entry.get("cold_start_s") or 0.0),
        health_path=entry.get("health_path") or "",
    )


def _read_engine(entry: dict[str, Any]) -> EngineFacts:
    # ``slots`` is the size of an engine's batch here, not the slots of a plain target.
    return EngineFacts(
        int(entry["slots"]),
        int(entry["kv_cache_tokens"]),
        # Tokens in one event of a stream.
        max(1, int(entry.get("stride") or 1)),
        _read_fetch_time(entry),
    )


def _read_fetch_time(entry: dict[str, Any]) -> float:
    """Return the time to transfer one token's KV cache between engines, in seconds."""
    link_mbps = float(entry.get("link_mbps") or 0.0)
    if link_mbps <= 0.0:
        return 0.0
    return int(entry.get("kv_token_bytes") or 0) * 8.0 / (link_mbps * 1e6)


def _read_limits(entry: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(entry.get("max_header_bytes") or defaults.head_bytes),
        body_bytes=int(entry.get("max_body_bytes") or defaults.body_bytes),
        head_s=float(entry.get("header_timeout_ms") or defaults.head_s * 1000) / 1000.0,
        idle_s=float(entry.get("idle_timeout_ms") or defaults.idle_s * 1000) / 1000.0,
    )
