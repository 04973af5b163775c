"""What targets say about themselves: load reports and model states."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ModelState(Enum):
    """Whether a runner has a model's weights in memory."""

    LOADED = "loaded"
    LOADING = "loading"
    ABSENT = "absent"


class FailureKind(Enum):
    """How a request to a target failed."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    ERROR = "error"
    DIED = "died"
    WRONG_ANSWER = "wrong-answer"
    OVERLOADED = "overloaded"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    One load report of a target.

    ``running`` and ``queued`` count requests of all hosts. ``kv_free_tokens``
    is None for targets without a cache. ``leaving`` is the target's own word
    and outranks every list.
    """

    running: int
    queued: int = 0
    kv_free_tokens: int | None = None
    models: Mapping[str, ModelState] = field(default_factory=dict)
    draining: bool = False


class CacheEventKind(Enum):
    """What happened to a block in a runner's cache."""

    STORED = "stored"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A numbered change of a runner's cache; events come late and with gaps."""

    sequence: int
    kind: CacheEventKind
    block: int
