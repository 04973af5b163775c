"""The cancel scopes of the requests that a process serves, which end with the process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..adapters.http1.downstream import CallerConnection


class RequestScopes:
    """
    State: the requests that are served, and whether this process is about to end.

    Once ``ending`` is set, further requests are cancelled before anything is done for them.
    """

    def __init__(self) -> None:
        self.ending = False
        self._callers: dict[trio.CancelScope, CallerConnection] = {}

    @contextmanager
    def limit(
        self, caller: CallerConnection, deadline: float
    ) -> Iterator[trio.CancelScope]:
        """Cancel what is done in the block at a deadline, or when this process ends."""
        with trio.CancelScope(deadline=deadline) as scope:
            self._callers[scope] = caller
            if self.ending:
                scope.cancel()
            try:
                yield scope
            finally:
                del self._callers[scope]

    def cancel_unanswered(self) -> None:
        """Cancel requests whose answers haven't begun, so that they get a failure."""
        self.ending = True
        for scope, caller in self._callers.items():
            if not caller.answer_started:
                scope.cancel()

    def cancel_all(self) -> None:
        """Cancel the requests that are still served; answers that have begun break off."""
        self.ending = True
        for scope in self._callers:
            scope.cancel()
