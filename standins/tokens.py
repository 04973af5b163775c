"""
The text that the engine stand-in generates, which a checker can recompute.

Token k of an answer depends on the model, the messages and k alone, so that
an answer combined from two engines can be checked token by token::

    text = "".join(generate_tokens("m", messages, 0, 16))
"""

from __future__ import annotations

import json
from hashlib import sha256
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

DIGITS = 6
BLOCK_TOKENS = 64
BLOCK_DIGITS = 16

Message = dict[str, Any]


def generate_tokens(
    model: str, messages: Sequence[Message], start: int, end: int
) -> Iterator[str]:
    """Yield tokens number ``start`` up to, not including, ``end``."""
    canonical = json.dumps(messages, sort_keys=True, separators=(",", ":"))
    seed = sha256((model + canonical).encode())
    for number in range(start, end):
        digest = seed.copy()
        digest.update(str(number).encode())
        yield f"w{digest.hexdigest()[:DIGITS]} "


def split_prompt(messages: Sequence[Message]) -> list[str]:
    """Return the prompt's tokens: its words, each message led by its role."""
    words: list[str] = []
    for message in messages:
        words.append(str(message.get("role", "")))
        words.extend(str(message.get("content", "")).split())
    return words


def digest_blocks(model: str, words: Sequence[str]) -> list[str]:
    """
    Return one digest for each full block of ``BLOCK_TOKENS`` words.

    A digest covers its block and all before it, so that two prompts share as
    many leading digests as they share leading blocks.
    """
    chain = sha256(model.encode())
    digests = []
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        chain.update(" ".join(words[end - BLOCK_TOKENS : end]).encode())
        digests.append(chain.hexdigest()[:BLOCK_DIGITS])
    return digests
