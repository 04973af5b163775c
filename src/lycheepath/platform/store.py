"""
The platform's metadata store: the calls to it and the decoding of its answers.

Keys below ``servers/`` hold the announcements of targets, ``op/config`` the
configuration, and ``op/evacuate/ZONE`` marks a zone that must get no requests.
"""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import orjson

from ..core.addresses import parse_address
from ..core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
    UnreadableEntry,
)
from ..core.catalog.model import Configuration, TargetEntry
from .configuration import read_configuration

if TYPE_CHECKING:
    from ..core.catalog.changes import Change, Entry

SERVERS = "servers/"
CONFIGURATION = "op/config"
EVACUATIONS = "op/evacuate/"
HISTORY_GONE = 410


class StoreAnswerError(Exception):
    """The store's answer is invalid; the message says why."""


def page_path(after_key: str = "") -> str:
    """Return the path of the call that reads a page of all items, sorted by key."""
    path = "/lycheepath/kv-range?prefix="
    return f"{path}&after={quote(after_key, safe='')}" if after_key else path


def changes_path(revision: int, wait_s: float, prefix: str = "") -> str:
    """Return the path of the call that waits for changes after a revision."""
    wait_ms = int(wait_s * 1000)
    key = quote(prefix, safe="")
    return f"/lycheepath/kv-watch?prefix={key}&after={revision}&wait_ms={wait_ms}"


def configuration_path() -> str:
    """Return the path of the call that reads only the configuration."""
    return f"/lycheepath/kv-key?key={quote(CONFIGURATION, safe='')}"


def read_configuration_item(body: bytes) -> Configuration:
    """Decode the configuration in the answer to a ``configuration_path`` call."""
    entry = _read_item(_load(body))
    if not isinstance(entry, Configuration):
        raise StoreAnswerError(f"the answer holds no configuration: {entry}")
    return entry


def read_page(body: bytes) -> tuple[Snapshot, str]:
    """Decode a page of entries; return it and the key that the next page follows."""
    answer = _load(body)
    items = answer.get("items")
    if not isinstance(items, list):
        raise StoreAnswerError("a page has no items")
    entries = tuple(e for e in map(_read_item, items) if e is not None)
    last_key = str(items[-1].get("key", "")) if items and answer.get("has_more") else ""
    return Snapshot(entries, _read_revision(answer)), last_key


def read_changes(body: bytes) -> Delta:
    """Decode the changes in the answer to a watch call."""
    answer = _load(body)
    events = answer.get("events")
    if not isinstance(events, list):
        raise StoreAnswerError("the changes have no events")
    changes = tuple(c for c in map(_read_event, events) if c is not None)
    return Delta(changes, _read_revision(answer))


def _load(body: bytes) -> dict[str, Any]:
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise StoreAnswerError(f"an answer is not JSON: {error}") from error
    if not isinstance(answer, dict):
        raise StoreAnswerError("an answer is not an object")
    return answer


def _read_revision(answer: dict[str, Any]) -> int:
    # ``as_of`` is the store's revision at the time of the answer, not a time.
    revision = answer.get("as_of")
    if not isinstance(revision, int):
        raise StoreAnswerError("an answer names no revision")
    return revision


def _read_event(event: Any) -> Change | None:
    if not isinstance(event, dict):
        return UnreadableEntry("", "an event is not an object")
    if not event.get("tombstone"):
        return _read_item(event)
    key = str(event.get("key", ""))
    if key.startswith(SERVERS):
        return TargetRemoved(key.removeprefix(SERVERS))
    if key.startswith(EVACUATIONS):
        return EvacuationEnded(key.removeprefix(EVACUATIONS))
    return None


def _read_item(item: Any) -> Entry | None:
    """Decode an item; return None for items that this system doesn't use."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return UnreadableEntry("", "an item has no key")
    key = item["key"]
    if key.startswith(EVACUATIONS):
        return Evacuation(key.removeprefix(EVACUATIONS))
    if not key.startswith(SERVERS) and key != CONFIGURATION:
        return None
    try:
        value = orjson.loads(base64.b64decode(item.get("value", ""), validate=True))
        if key == CONFIGURATION:
            return read_configuration(value)
        return _read_target(key.removeprefix(SERVERS), value)
    except (binascii.Error, ValueError, TypeError, KeyError, AttributeError) as error:
        return UnreadableEntry(key, f"{type(error).__name__}: {error}")


def _read_target(target: str, value: dict[str, Any]) -> TargetEntry:
    state = value["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"the state {state!r} is unknown")
    remaining_ms = value.get("remaining_ms")
    return TargetEntry(
        id=target,
        service=_read_text(value, "service"),
        address=str(parse_address(_read_text(value, "address"))),
        zone=_read_text(value, "zone"),
        slots=_read_number(value, "slots"),
        draining=state == "draining",
        cold_s=_read_number(value, "cold_left_ms") / 1000.0,
        # Number of announcements since the target's start.
        sequence=_read_number(value, "seq"),
        # Start time in Unix milliseconds; not every target announces it.
        born_ms=_read_number(value, "born") if "born" in value else 0,
        version=_read_text(value, "version"),
        leaves_in_s=None if remaining_ms is None else float(remaining_ms) / 1000.0,
    )


def _read_text(value: dict[str, Any], name: str) -> str:
    field = value[name]
    if not isinstance(field, str) or not field:
        raise ValueError(f"the field {name} is not a text")
    return field


def _read_number(value: dict[str, Any], name: str) -> int:
    field = value[name]
    if isinstance(field, bool) or not isinstance(field, (int, float)):
        raise ValueError(f"the field {name} is not a number")
    return int(field)
