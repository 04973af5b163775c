"""Selects the configuration in force: ordered by revision, never reverted."""

from __future__ import annotations
