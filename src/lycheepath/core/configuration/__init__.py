"""Which configuration is in force: ordered by revision, never reverting."""

from __future__ import annotations
