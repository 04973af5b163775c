"""
The settings file that the platform provides for each process.

``deploy/settings.json`` is the template from which the platform writes all fields as
JSON. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import Any

import orjson

from ..core.addresses import Address, parse_address
from ..core.json_values import read_number
from ..gateway.settings import DeploymentBounds, GatewaySettings

SETTINGS_VARIABLE = "LYCHEEPATH_SETTINGS"
METRICS_PORT = 9464
# Time until a revoked key is refused if the settings bound it and name none, in ms.
REVOCATION_MS = 5000.0
# Memory of a process whose settings name none, in bytes.
DEFAULT_MEMORY_BYTES = 300 << 20


class SettingsError(ValueError):
    """The settings file is invalid; the message names the field."""


def read_settings(text: str | bytes) -> GatewaySettings:
    """Decode the text of a settings file; raises SettingsError."""
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"the settings are not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise SettingsError("the settings are not a JSON object")
    try:
        return _decode(fields)
    except KeyError as error:
        raise SettingsError(f"the settings lack the field {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"a field of the settings is wrong: {error}") from error


def _decode(fields: dict[str, Any]) -> GatewaySettings:
    listen = fields["listen"]
    first, last = fields["port_range"]
    ip = fields["ip"]
    return GatewaySettings(
        host=fields["node_name"],
        ip=ip,
        zone=fields["zone"],
        region=fields["region"],
        zone_regions=dict(fields["zones"]),
        callers=parse_address(listen["front"]),
        ready=parse_address(listen["ready"]),
        control=parse_address(listen["control"]),
        directory=parse_address(listen["directory"]),
        metrics=Address(ip, METRICS_PORT),
        peer_port=int(first),
        relay_port=min(int(first) + 1, int(last)),
        # Addresses of other hosts' control listeners; only their IPs are used.
        seeds=tuple(parse_address(seed) for seed in fields["seeds"]),
        store=parse_address(fields["platform"]["address"]),
        bounds=_decode_bounds(fields.get("bounds") or {}),
        memory_bytes=_read_memory(fields.get("limits") or {}),
    )


def _read_memory(limits: dict[str, Any]) -> int:
    megabytes = limits.get("memory_mb")
    if megabytes is None:
        return DEFAULT_MEMORY_BYTES
    return int(read_number(megabytes, 1.0) * (1 << 20))


def _decode_bounds(fields: dict[str, Any]) -> DeploymentBounds:
    def read(name: str, default: float) -> float:
        value = fields.get(name)
        return default if value is None else float(value)

    defaults = DeploymentBounds()
    return DeploymentBounds(
        grace_s=read("grace_s", defaults.grace_s),
        retry_ratio=read("retry_budget_ratio", defaults.retry_ratio),
        retry_window_s=read("budget_window_s", defaults.retry_window_s),
        # Retries that the whole fleet may make beyond the ratio, per window.
        retry_allowance=read("budget_slack", defaults.retry_allowance),
        cold_allowance=read("cold_slack", defaults.cold_allowance),
        directory_ttl_s=read("ttl_max_s", defaults.directory_ttl_s),
        revocation_s=read("revoke_ms", REVOCATION_MS) / 1000.0
        if fields.get("revoke_strict")
        else None,
        limit_over=read("quota_over", defaults.limit_over),
        limit_slack=read("quota_slack", defaults.limit_slack),
    )
