"""
The properties of a request that routing uses: sizes, hashes, times, regions.

The text of the prompt is not kept, only hashes of its leading blocks.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
MAX_BLOCKS = 64

_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """
    A request that needs a runner.

    ``prefix_blocks`` is a chain of hashes: each covers its block of
    ``BLOCK_TOKENS`` tokens and all blocks before it. ``deadline`` is in
    seconds of the host's monotonic clock. ``priority`` is 0 for the most
    urgent work up to 9. ``bound_region`` is the only region that may serve
    the request, or None where no residency rule binds it.
    """

    id: str
    model: str
    prefix_blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    deadline: float
    home_region: str
    bound_region: str | None = None


def hash_prefix(
    model: str, messages: Iterable[Mapping[str, object]]
) -> tuple[int, ...]:
    """
    Return the hashes of the complete leading blocks of a prompt.

    The chain starts with the model, since engines share no cache between
    models. A prompt shorter than one block has no hashes.
    """
    text = "".join(
        f"\x00{message.get('role', '')}\x01{message.get('content', '')}"
        for message in messages
    )
    blocks = min(len(text) // _BLOCK_CHARACTERS, MAX_BLOCKS)
    previous = blake2b(model.encode(), digest_size=8).digest()
    hashes = []
    for index in range(blocks):
        start = index * _BLOCK_CHARACTERS
        block = text[start : start + _BLOCK_CHARACTERS].encode("utf-8", "replace")
        previous = blake2b(block, digest_size=8, key=previous).digest()
        hashes.append(int.from_bytes(previous, "big"))
    return tuple(hashes)


def estimate_tokens(messages: Iterable[Mapping[str, object]]) -> int:
    """Return an estimate of the number of tokens in the messages."""
    characters = sum(len(str(message.get("content", ""))) for message in messages)
    return max(1, characters // CHARACTERS_PER_TOKEN)
