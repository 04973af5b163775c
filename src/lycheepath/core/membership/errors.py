"""Broken invariants of the membership core."""

from __future__ import annotations


class InvariantError(AssertionError):
    """A state that the design rules out; the host counts it and stops."""


class ResurrectionError(InvariantError):
    """A member that was dead or ended is about to be shown alive again."""


class RevisionFellError(InvariantError):
    """A held value is about to be replaced by a lower revision."""
