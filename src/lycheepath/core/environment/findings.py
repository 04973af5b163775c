"""
Findings: the problems of a document, with their locations and advice.

Reading a document does not stop at the first problem. Each problem becomes a
``Finding`` with its location, and all of them are returned together::

    outcome = read_environment(text)
    if isinstance(outcome, Findings):
        for finding in outcome.items:
            print(finding.describe())
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """
    One problem of a document.

    ``pointer`` is a JSON pointer (RFC 6901) to the member, or to the missing
    member where one is required; the empty pointer is the whole document.
    ``line`` counts from 1. ``advice`` describes how to fix the problem.
    """

    pointer: str
    line: int
    message: str
    advice: str

    def describe(self) -> str:
        """Return the finding as one readable line."""
        return f"line {self.line}, {self.pointer or '/'}: {self.message}. {self.advice}"


@dataclass(frozen=True, slots=True)
class Findings:
    """All findings of a document, ordered by line; never empty."""

    items: tuple[Finding, ...]
