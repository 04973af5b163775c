"""
The platform's metadata store: the calls to it and the decoding of its answers.

Keys below ``servers/`` hold the announcements of targets, ``op/config`` the
configuration, and ``op/evacuate/ZONE`` marks a zone that must get no requests.
"""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

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
from ..core.catalog.model import Configuration, TargetEntry
from ..core.json_values import (
    describe,
    describe_error,
    read_integer,
    read_name,
    read_number,
    shorten,
)
from .configuration import read_configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.catalog.changes import Change, Entry

SERVERS = "servers/"
CONFIGURATION = "op/config"
EVACUATIONS = "op/evacuate/"
HISTORY_GONE = 410
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15


class StoreAnswerError(Exception):
    """The store's answer is invalid; the message says why."""


def read_era(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """
    Return the era in the headers of an answer, None without one.

    It rises each time the store is restored from an older copy. Raises ValueError if
    it can't be read.
    """
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            text = value.decode("latin-1")
            if not value.isdigit() or len(text) > MAX_ERA_DIGITS:
                raise ValueError(f"expected an era, found {describe(text)}")
            return int(text)
    return None


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
        reason = entry.reason if isinstance(entry, UnreadableEntry) else "another key"
        raise StoreAnswerError(f"the answer holds no configuration: {reason}")
    return entry


def read_page(body: bytes, era: int = 0) -> tuple[Snapshot, str]:
    """Decode a page of entries; return it and the key that the next page follows."""
    answer = _load(body)
    items = answer.get("items")
    if not isinstance(items, list):
        raise StoreAnswerError("a page has no items")
    entries = tuple(e for e in map(_read_item, items) if e is not None)
    last_key = _find_last_key(items) if items and answer.get("has_more") else ""
    return Snapshot(entries, _read_revision(answer), era), last_key


def read_changes(body: bytes, era: int = 0) -> Delta:
    """Decode the changes in the answer to a watch call."""
    answer = _load(body)
    events = answer.get("events")
    if not isinstance(events, list):
        raise StoreAnswerError("the changes have no events")
    changes = tuple(c for c in map(_read_event, events) if c is not None)
    return Delta(changes, _read_revision(answer), era)


def _load(body: bytes) -> dict[str, Any]:
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError:
        answer = _load_leniently(body)
    if not isinstance(answer, dict):
        raise StoreAnswerError("an answer is not an object")
    return answer


def _load_leniently(body: bytes) -> Any:
    """
    Decode an answer with texts that aren't UTF-8, or numbers that JSON doesn't have.

    They make only the items unreadable that have them.
    """
    try:
        return json.loads(body.decode("utf-8", "surrogateescape"))
    except (ValueError, RecursionError) as error:
        reason = describe_error(error)
        raise StoreAnswerError(f"an answer is not JSON: {reason}") from error


def _find_last_key(items: list[Any]) -> str:
    """Return the last key of a page that can be named in the next call."""
    for item in reversed(items):
        key = item.get("key") if isinstance(item, dict) else None
        if isinstance(key, str) and key and _is_utf8(key):
            return key
    raise StoreAnswerError("a page names no key that the next one follows")


def _is_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _read_revision(answer: dict[str, Any]) -> int:
    # ``as_of`` is the store's revision at the time of the answer, not a time.
    try:
        return read_integer(answer.get("as_of"), 0, MAX_REVISION)
    except ValueError as error:
        raise StoreAnswerError(f"an answer names no revision: {error}") from error


def _read_event(event: Any) -> Change | None:
    if not isinstance(event, dict):
        return UnreadableEntry("", "an event is not an object")
    if not event.get("tombstone"):
        return _read_item(event)
    key = event.get("key")
    if not isinstance(key, str):
        return UnreadableEntry("", f"expected a key, found {describe(key)}")
    try:
        if key.startswith(SERVERS):
            return TargetRemoved(read_name(key.removeprefix(SERVERS)))
        if key.startswith(EVACUATIONS):
            return EvacuationEnded(read_name(key.removeprefix(EVACUATIONS)))
    except ValueError as error:
        return UnreadableEntry(shorten(key), describe_error(error))
    return None


def _read_item(item: Any) -> Entry | None:
    """
    Decode an item; return None for items that this system doesn't use.

    An item may hold anything. Whatever reading it raises concerns it alone.
    """
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        return UnreadableEntry("", "an item has no key")
    key = item["key"]
    if not key.startswith((SERVERS, EVACUATIONS)) and key != CONFIGURATION:
        return None
    try:
        if key.startswith(EVACUATIONS):
            return Evacuation(read_name(key.removeprefix(EVACUATIONS)))
        value = orjson.loads(base64.b64decode(item.get("value", ""), validate=True))
        if not isinstance(value, dict):
            raise ValueError(f"expected an object, found {describe(value)}")
        if key == CONFIGURATION:
            return check_configuration(read_configuration(value))
        return check_entry(_read_target(key.removeprefix(SERVERS), value))
    except Exception as error:
        return UnreadableEntry(shorten(key), describe_error(error))


def _read_target(target: str, value: dict[str, Any]) -> TargetEntry:
    state = value["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"expected ready or draining, found {describe(state)}")
    remaining_ms = value.get("remaining_ms")
    return TargetEntry(
        id=target,
        service=value["service"],
        address=value["address"],
        zone=value["zone"],
        slots=read_integer(value["slots"]),
        draining=state == "draining",
        cold_s=read_integer(value["cold_left_ms"]) / 1000.0,
        # Number of announcements since the target's start.
        sequence=read_integer(value["seq"]),
        # Start time in Unix milliseconds; not every target announces it.
        born_ms=read_integer(value["born"]) if "born" in value else 0,
        version=read_name(value["version"]),
        leaves_in_s=None
        if remaining_ms is None
        else read_number(remaining_ms) / 1000.0,
    )
