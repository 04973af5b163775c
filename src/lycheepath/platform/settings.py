"""
The settings file that the platform lays down for each process.

``deploy/settings.json`` has the platform write all fields as JSON. Fields
that this module doesn't name are ignored.
"""

from __future__ import annotations

from typing import Any

import orjson

from ..gateway.settings import Address, GatewaySettings, RuleBounds

SETTINGS_VARIABLE = "LYCHEEPATH_SETTINGS"
METRICS_PORT = 9464


class SettingsError(ValueError):
    """The settings file can't be used; the text names the field."""


def read_settings(text: str | bytes) -> GatewaySettings:
    """Return the settings that a file's text holds."""
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
        # Addresses of other hosts' control listeners; only the IP is of use.
        seeds=tuple(parse_address(seed) for seed in fields["seeds"]),
        store=parse_address(fields["platform"]["address"]),
        memory_bytes=int(fields["limits"]["memory_mb"]) << 20,
        descriptors=int(fields["limits"]["max_fds"]),
        bounds=_decode_bounds(fields.get("bounds") or {}),
    )


def _decode_bounds(fields: dict[str, Any]) -> RuleBounds:
    def seconds(name: str, default: float, unit: float = 1000.0) -> float:
        value = fields.get(name)
        return default if value is None else float(value) / unit

    usual = RuleBounds()
    return RuleBounds(
        contact_s=seconds("contact_ms", usual.contact_s),
        drain_s=seconds("drain_ms", usual.drain_s),
        # The time between SIGTERM and SIGKILL.
        grace_s=seconds("grace_s", usual.grace_s, 1.0),
        configuration_s=seconds("config_deadline_ms", usual.configuration_s),
        evacuation_s=seconds("evacuation_ms", usual.evacuation_s),
        retry_ratio=seconds("retry_budget_ratio", usual.retry_ratio, 1.0),
        retry_window_s=seconds("budget_window_s", usual.retry_window_s, 1.0),
        # Retries that the whole fleet may make beyond the ratio, per window.
        retry_allowance=seconds("budget_slack", usual.retry_allowance, 1.0),
        cold_factor=seconds("cold_over", usual.cold_factor, 1.0),
        cold_allowance=seconds("cold_slack", usual.cold_allowance, 1.0),
        directory_ttl_s=seconds("ttl_max_s", usual.directory_ttl_s, 1.0),
    )


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names."""
    ip, _, port = text.rpartition(":")
    if not ip:
        raise ValueError(f"{text!r} is not IP:PORT")
    return Address(ip, int(port))
