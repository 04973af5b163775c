"""Errors for violated invariants of the membership core."""

from __future__ import annotations


class InvariantError(AssertionError):
    """A state that the protocol excludes; the host counts it and stops."""


class ResurrectionError(InvariantError):
    """A dead or ended incarnation of a member would become alive again."""


class RevisionFellError(InvariantError):
    """A held value would be replaced by a lower or conflicting revision."""
