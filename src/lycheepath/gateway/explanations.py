"""
The operators' page that tells where a request would go now, and why.

It only reads what this host knows: nothing is sent to targets or other hosts::

    GET /lycheepath/explain?host=books.example&path=/drafts/&team=search&prompt=900
        &answer=200&part=system:500
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import orjson

from ..core.explaining.placements import (
    PlacementQuestion,
    UnknownSubject,
    explain_placement,
)
from ..core.serving.requests import Prompt, PromptPart

if TYPE_CHECKING:
    from ..core.explaining.placements import PlacementView

EXPLAIN_PATH = b"/lycheepath/explain"
# Largest number of fields in a question, and of digits of its numbers.
MAX_FIELDS = 80
MAX_DIGITS = 9
NAMES = frozenset({"host", "path", "team", "prompt", "answer", "part", "time_ms"})
# The part of a prompt that no other request shares.
OWN_PART = "own"


class QuestionError(ValueError):
    """A question can't be read; the message says what to change."""


def is_question(target: bytes) -> bool:
    """Whether a request on the operators' address is for this page."""
    return target.partition(b"?")[0] == EXPLAIN_PATH


def answer_question(
    method: bytes, target: bytes, view: PlacementView, now: float
) -> tuple[int, bytes]:
    """Return the status and the JSON of the answer; problems have an ``error``."""
    if method != b"GET":
        return 405, _write_error("Ask with GET; nothing can be changed here.")
    try:
        question = read_question(target)
    except QuestionError as error:
        return 400, _write_error(str(error))
    # Draws of its own, so that those for requests stay what they are.
    explanation = explain_placement(question, view, now, Random())
    if isinstance(explanation, UnknownSubject):
        return 404, _write_error(explanation.text)
    return 200, orjson.dumps(explanation)


def read_question(target: bytes) -> PlacementQuestion:
    """Return the question in a query; raises ``QuestionError``."""
    query = target.partition(b"?")[2].decode("latin-1")
    try:
        fields = parse_qs(query, keep_blank_values=True, max_num_fields=MAX_FIELDS)
    except ValueError as error:
        raise QuestionError(f"Ask with up to {MAX_FIELDS} fields.") from error
    unknown = sorted(fields.keys() - NAMES)
    if unknown:
        raise QuestionError(
            f"Leave out the field {unknown[0][:40]!r}. Known are: {_list_names()}."
        )
    host = fields.get("host", [""])[0].lower().partition(":")[0]
    path = fields.get("path", [""])[0]
    if not host or not path.startswith("/"):
        raise QuestionError("Name a host and a path that begins with a slash.")
    time_ms = _read_number(fields, "time_ms")
    return PlacementQuestion(
        host,
        path,
        fields.get("team", [""])[0] or None,
        _read_prompt(fields),
        None if time_ms is None else time_ms / 1000.0,
    )


def _read_prompt(fields: dict[str, list[str]]) -> Prompt | None:
    tokens = _read_number(fields, "prompt")
    answer = _read_number(fields, "answer")
    if tokens is None:
        if answer is not None or "part" in fields:
            raise QuestionError("Give the tokens of the prompt as well.")
        return None
    parts = [_read_part(text) for text in fields.get("part", [])]
    own = tokens - sum(part.tokens for part in parts)
    if own < 0:
        raise QuestionError("The parts have more tokens than the prompt.")
    return Prompt("", tokens, answer or 0, (*parts, PromptPart(OWN_PART, own)))


def _read_part(text: str) -> PromptPart:
    name, _, tokens = text.rpartition(":")
    if not name or not _is_number(tokens):
        raise QuestionError("Give each part as NAME:TOKENS, like system:500.")
    return PromptPart(name, int(tokens))


def _read_number(fields: dict[str, list[str]], name: str) -> int | None:
    if name not in fields:
        return None
    text = fields[name][0]
    if not _is_number(text):
        raise QuestionError(
            f"Give {name} as a whole number of up to {MAX_DIGITS} digits."
        )
    return int(text)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _list_names() -> str:
    return ", ".join(sorted(NAMES))


def _write_error(text: str) -> bytes:
    return orjson.dumps({"error": text})
