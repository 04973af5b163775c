"""The calls to targets themselves, and the decoding of their answers."""

from __future__ import annotations

from typing import Any

import orjson

from ..core.json_values import (
    describe,
    describe_error,
    read_integer,
)

HELD_PARTS_PATH = "/lycheepath/kv-list"
REPORT_PATH = "/lycheepath/report"
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
