"""
Findings: what is wrong with a document, where, and what to do about it.

Reading a document never stops at the first problem. Each problem becomes a
``Finding`` with its place, and all of them are returned together::

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
    ``line`` counts from 1. ``advice`` says what to do.
    """

    pointer: str
    line: int
    message: str
    advice: str

    def describe(self) -> str:
        """Return the finding as one line for people."""
        return f"line {self.line}, {self.pointer or '/'}: {self.message}. {self.advice}"


@dataclass(frozen=True, slots=True)
class Findings:
    """All findings of a document, in the order of their lines; never empty."""

    items: tuple[Finding, ...]
