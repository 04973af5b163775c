"""Converts problems to responses, and raises them from handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quart import Response

if TYPE_CHECKING:
    from .problems import Problem


class ProblemError(Exception):
    """Raised by a handler to answer the request with a problem."""

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
