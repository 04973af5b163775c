"""The calls to targets themselves, and the decoding of their answers."""

from __future__ import annotations

import orjson

HELD_PARTS_PATH = "/lycheepath/kv-list"
REPORT_PATH = "/lycheepath/report"


class TargetAnswerError(Exception):
    """A target's answer is invalid; the message says why."""


def read_held_parts(body: bytes) -> frozenset[str]:
    """Return the ids of the parts of prompts that a target holds in its memory."""
    try:
        entries = orjson.loads(body)["held"]
        # An entry has an empty text, the part's id, its tokens and the model.
        return frozenset(str(entry[1]) for entry in entries)
    except (orjson.JSONDecodeError, KeyError, TypeError, IndexError) as error:
        raise TargetAnswerError(f"the list can't be read: {error}") from error


def read_start(body: bytes) -> int | None:
    """Return the start of a target in its report, in Unix ms, or None if it has none."""
    try:
        born = orjson.loads(body).get("born")
    except (orjson.JSONDecodeError, AttributeError) as error:
        raise TargetAnswerError(f"the report can't be read: {error}") from error
    return born if isinstance(born, int) and not isinstance(born, bool) else None
