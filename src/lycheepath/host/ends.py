"""Ends the requests that outlast a host's drain with a failure, not a closed connection."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..core.outcomes import RequestFailedError, Run
from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .node import Node

RETRY_AFTER_S = 1.0
HOST_ENDS = Absent(Reason.DRAINING, RETRY_AFTER_S, "this host ends")


@contextmanager
def fail_at_end(node: Node, was_sent: Callable[[], bool]) -> Iterator[None]:
    """
    Raise RequestFailedError if this host ends while the block waits.

    ``was_sent`` tells whether the request may have run by then.
    """
    with node.scopes.limit(_is_final) as scope:
        yield
    if scope.cancelled_caught:
        run = Run.UNKNOWN if was_sent() else Run.NOT_RUN
        raise RequestFailedError(HOST_ENDS, run)


def _is_final() -> bool:
    """Whether an answer can't be replaced by a failure: a stream can end with one."""
    return False
