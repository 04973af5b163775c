"""Turns problems into responses and raises them out of handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quart import Response

if TYPE_CHECKING:
    from .problems import Problem


class ProblemError(Exception):
    """Ends a handler with a problem as its answer."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.reason)
        self.problem = problem


def respond_problem(problem: Problem) -> Response:
    """Return the response that carries a problem."""
    response = Response(problem.body(), problem.status)
    response.headers.clear()
    for name, value in problem.headers().items():
        response.headers[name] = value
    return response
