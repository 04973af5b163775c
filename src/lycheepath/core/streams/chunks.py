"""
The chunks of a model engine's streamed answer.

A chunk belongs to one attempt, identified by the request id that the host
assigned to that attempt and the engine returns. It holds at most one token,
numbered from 0 over the entire answer, including resumed parts::

    chunk = read_chunk(orjson.loads(line))
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """
    One part of a streamed answer.

    ``sequence`` is the token's number; ``None`` if the chunk has none.
    ``finish_reason`` is empty unless the answer ends with this chunk.
    ``completion_tokens`` is the engine's token count, if it is included.
    """

    request_id: str
    sequence: int | None
    text: str
    finish_reason: str = ""
    completion_tokens: int | None = None


def read_chunk(value: object) -> Chunk | None:
    """Read a decoded chunk; ``None`` if the value is not a valid chunk."""
    if not isinstance(value, dict) or not isinstance(value.get("id"), str):
        return None
    choice = _first_choice(value.get("choices"))
    if choice is None:
        return None
    delta = choice.get("delta")
    text = delta.get("content") if isinstance(delta, dict) else None
    finish_reason = choice.get("finish_reason")
    usage = value.get("usage")
    counted = usage.get("completion_tokens") if isinstance(usage, dict) else None
    return Chunk(
        request_id=value["id"],
        sequence=_read_count(value.get("sequence")),
        text=text if isinstance(text, str) else "",
        finish_reason=finish_reason if isinstance(finish_reason, str) else "",
        completion_tokens=_read_count(counted),
    )


def _first_choice(choices: object) -> dict[str, object] | None:
    if not isinstance(choices, list) or not choices:
        return None
    return choices[0] if isinstance(choices[0], dict) else None


def _read_count(value: object) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value
