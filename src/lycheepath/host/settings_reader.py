"""
Reads and validates a host's settings.

The settings are JSON. They are validated as strictly as an environment
document, and all findings are returned together::

    settings = read_settings(path.read_bytes())
    if isinstance(settings, Findings):
        ...
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, cast

from ..core.environment.findings import Findings
from ..core.environment.json_text import parse_text
from ..core.environment.schema import (
    INVALID,
    NOT_AN_OBJECT,
    Field,
    Location,
    Report,
    read_address,
    read_identifier,
    read_list,
    read_members,
    read_number,
    read_record,
    read_string,
)
from .settings import ActionSettings, LogSettings, PeerKey, PlatformSettings, Settings

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_SECRET_BYTES = 16
MAX_DRAIN_S = 3_600.0
MAX_ACTION_S = 3_600.0
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def read_settings(text: str | bytes) -> Settings | Findings:
    """Read the settings of one host, or return all findings."""
    parsed = parse_text(text)
    if isinstance(parsed, Findings):
        return parsed
    report = Report()
    if not isinstance(parsed.value, dict):
        report.add(None, *NOT_AN_OBJECT)
        return report.close(parsed.text)
    members = read_members(parsed.value, _SETTINGS, None, report)
    _check_keys(members.get("peer_keys"), report)
    if report.entries:
        return report.close(parsed.text)
    return _build_settings(members)


def _build_settings(members: Mapping[str, object]) -> Settings:
    listen = cast("dict[str, str]", members["listen"])
    rest = {name: value for name, value in members.items() if name != "listen"}
    return Settings(
        listen_callers=listen["callers"],
        listen_peers=listen["peers"],
        **rest,  # type: ignore[arg-type]
    )


def _check_keys(keys: object, report: Report) -> None:
    if not isinstance(keys, tuple):
        return
    location = Location(None, "peer_keys")
    if not keys:
        report.add(location, "there is no key for peers", "Give at least one key")
    ids = [key.id for key in keys if isinstance(key, PeerKey)]
    for index, id_ in enumerate(ids):
        if id_ in ids[:index]:
            report.add(
                location, f"the key id {id_} is used twice", "Rename one of them"
            )


def _read_secret(
    value: object, parent: Location | None, key: str | int, report: Report
) -> object:
    """Read hexadecimal bytes; the findings never contain the secret."""
    expected = f"at least {MIN_SECRET_BYTES} bytes in hexadecimal digits"
    if isinstance(value, str) and _HEXADECIMAL.fullmatch(value):
        return bytes.fromhex(value)
    report.add(
        Location(parent, key), f"the secret is not {expected}", f"Give {expected}"
    )
    return INVALID


_HEXADECIMAL = re.compile(rf"(?:[0-9A-Fa-f]{{2}}){{{MIN_SECRET_BYTES},512}}")

_read_url = read_string(
    re.compile(r"https?://[!-~]{1,500}"), "a URL that starts with http:// or https://"
)
_read_digest = read_string(
    re.compile(r"(?:[0-9a-f]{64})?"), "64 hexadecimal digits in small letters"
)
_read_format = read_string(re.compile("json|text"), '"json" or "text"')
_read_level = read_string(
    re.compile("|".join(LOG_LEVELS)), "one of " + ", ".join(LOG_LEVELS)
)

_read_listen = read_record(
    dict, {"callers": Field(read_address), "peers": Field(read_address)}
)
_read_platform = read_record(
    PlatformSettings,
    {"url": Field(_read_url), "environment": Field(read_identifier)},
)
_read_key = read_record(
    PeerKey, {"id": Field(read_identifier), "secret": Field(_read_secret)}
)
_read_log = read_record(
    LogSettings,
    {
        "format": Field(_read_format, required=False),
        "level": Field(_read_level, required=False),
    },
)
_read_actions = read_record(
    ActionSettings,
    {
        "freshness_s": Field(read_number(0.1, MAX_ACTION_S), required=False),
        "hold_s": Field(read_number(0.1, MAX_ACTION_S), required=False),
    },
)

_SETTINGS = {
    "host": Field(read_identifier),
    "zone": Field(read_identifier),
    "region": Field(read_identifier),
    "listen": Field(_read_listen),
    "platform": Field(_read_platform),
    "peer_keys": Field(read_list(_read_key)),
    "seeds": Field(read_list(read_address), required=False),
    "drain_s": Field(read_number(0, MAX_DRAIN_S), required=False),
    "operator_key_sha256": Field(_read_digest, required=False),
    "log": Field(_read_log, required=False),
    "actions": Field(_read_actions, required=False),
}
