"""The calls to targets themselves, and the decoding of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import (
    describe,
    describe_error,
    read_integer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

HELD_PARTS_PATH = "/lycheepath/kv-list"
# Longest time that a target may state, in digits of ms.
MAX_TIME_DIGITS = 9
REPORT_PATH = "/lycheepath/report"
MAX_REPORT_BYTES = 65_536
# Longest id of a prompt's part that is kept from a list; others are left out.
MAX_PART_ID_CHARACTERS = 200


class TargetAnswerError(Exception):
    """A target's answer is invalid; the message says why."""


def read_held_parts(body: bytes) -> frozenset[str]:
    """Return the ids of the parts of prompts that a target holds in its memory."""
    try:
        entries = _read_object(body)["held"]
        if not isinstance(entries, list):
            raise ValueError(f"expected a list, found {describe(entries)}")
        # An entry has an empty text, the part's id, its tokens and the model.
        return frozenset(filter(_is_part_id, (entry[1] for entry in entries)))
    except (KeyError, TypeError, IndexError, ValueError) as error:
        reason = describe_error(error)
        raise TargetAnswerError(f"the list can't be read: {reason}") from error


def read_cold_time(headers: Iterable[tuple[bytes, bytes]], target: str) -> float | None:
    """
    Return how long a target stays cold by its answer to a health check, in seconds.

    Returns None if the answer isn't that of the target. Raises TargetAnswerError if
    the time can't be read.
    """
    answered = {name.lower(): value for name, value in headers}
    if answered.get(b"instance-id", b"").decode("latin-1") != target:
        return None
    text = answered.get(b"cold-ms", b"0").decode("latin-1").strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_TIME_DIGITS:
        raise TargetAnswerError(f"expected a time in ms, found {describe(text)}")
    return int(text) / 1000.0


def read_start(body: bytes) -> int | None:
    """Return the start of a target in its report, in Unix ms, or None if it has none."""
    try:
        born = _read_object(body).get("born")
    except ValueError as error:
        reason = describe_error(error)
        raise TargetAnswerError(f"the report can't be read: {reason}") from error
    try:
        return read_integer(born, 0) if isinstance(born, int) else None
    except ValueError:
        return None


def _is_part_id(value: Any) -> bool:
    return isinstance(value, str) and len(value) <= MAX_PART_ID_CHARACTERS


def _read_object(body: bytes) -> dict[str, Any]:
    answer = orjson.loads(body)
    if not isinstance(answer, dict):
        raise ValueError(f"expected an object, found {describe(answer)}")
    return answer
