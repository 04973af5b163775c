"""
The platform's metadata store: what is asked for, and how answers are decoded.

Keys below ``servers/`` hold what targets announce, ``op/config`` the
configuration, ``op/evacuate/ZONE`` a zone that is to get nothing.
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
    """The store's answer can't be used; its text says why."""


def page_path(after_key: str = "") -> str:
    """Return the call that reads a page of all items, in the order of keys."""
    path = "/lycheepath/kv-range?prefix="
    return f"{path}&after={quote(after_key, safe='')}" if after_key else path


def changes_path(revision: int, wait_s: float) -> str:
    """Return the call that waits for changes after a revision."""
    wait_ms = int(wait_s * 1000)
    return f"/lycheepath/kv-watch?prefix=&after={revision}&wait_ms={wait_ms}"


def configuration_path() -> str:
    """Return the call that reads the configuration alone."""
    return f"/lycheepath/kv-key?key={quote(CONFIGURATION, safe='')}"


def read_configuration_item(body: bytes) -> Configuration:
    """Return the configuration that an answer to ``configuration_path`` holds."""
    entry = _read_item(_load(body))
    if not isinstance(entry, Configuration):
        raise StoreAnswerError(f"the answer holds no configuration: {entry}")
    return entry


def read_page(body: bytes) -> tuple[Snapshot, str]:
    """Return a page of entries, and the key after which the next one begins."""
    answer = _load(body)
    items = answer.get("items")
    if not isinstance(items, list):
        raise StoreAnswerError("a page has no items")
    entries = tuple(e for e in map(_read_item, items) if e is not None)
    last = str(items[-1].get("key", "")) if items and answer.get("has_more") else ""
    return Snapshot(entries, _read_revision(answer)), last


def read_changes(body: bytes) -> Delta:
    """Return the changes that an answer of the watch holds."""
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
    # The store's revision at the time of the answer, not a time.
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
    """Return what an item holds; None for items that are none of ours."""
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
        service=_text(value, "service"),
        address=str(parse_address(_text(value, "address"))),
        zone=_text(value, "zone"),
        slots=_number(value, "slots"),
        draining=state == "draining",
        cold_s=_number(value, "cold_left_ms") / 1000.0,
        # Counts the announcements since the target's start.
        sequence=_number(value, "seq"),
        # Unix milliseconds of the start; some starts don't tell it.
        born_ms=_number(value, "born") if "born" in value else 0,
        leaves_in_s=None if remaining_ms is None else float(remaining_ms) / 1000.0,
    )


def _text(value: dict[str, Any], name: str) -> str:
    field = value[name]
    if not isinstance(field, str) or not field:
        raise ValueError(f"the field {name} is not a text")
    return field


def _number(value: dict[str, Any], name: str) -> int:
    field = value[name]
    if isinstance(field, bool) or not isinstance(field, (int, float)):
        raise ValueError(f"the field {name} is not a number")
    return int(field)
