"""The cancel scopes of the requests that a process serves, which end with the process."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class RequestScopes:
    """
    State: the requests that are served, and whether this process is about to end.

    Once ``ending`` is set, further requests are cancelled before anything is done for them.
    """

    def __init__(self) -> None:
        self.ending = False
        self._has_begun: dict[trio.CancelScope, Callable[[], bool]] = {}
        self._shields: set[trio.CancelScope] = set()

    @contextmanager
    def shield(self) -> Iterator[None]:
        """Keep what is done in the block from being cancelled until this process ends."""
        with trio.CancelScope(shield=not self.ending) as scope:
            self._shields.add(scope)
            try:
                yield
            finally:
                self._shields.discard(scope)

    @contextmanager
    def limit(
        self, has_begun: Callable[[], bool], deadline: float = math.inf
    ) -> Iterator[trio.CancelScope]:
        """
        Cancel what is done in the block at a deadline, or when this process ends.

        ``has_begun`` tells whether the answer to the request has begun.
        """
        with trio.CancelScope(deadline=deadline) as scope:
            self._has_begun[scope] = has_begun
            if self.ending:
                scope.cancel()
            try:
                yield scope
            finally:
                del self._has_begun[scope]

    def cancel_unanswered(self) -> None:
        """Cancel requests whose answers haven't begun, so that they get a failure."""
        self.ending = True
        for shield in self._shields:
            shield.shield = False
        for scope, has_begun in self._has_begun.items():
            if not has_begun():
                scope.cancel()

    def cancel_all(self) -> None:
        """Cancel the requests that are still served; answers that have begun break off."""
        self.ending = True
        for scope in self._has_begun:
            scope.cancel()
