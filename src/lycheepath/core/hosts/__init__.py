"""Which hosts a caller should use."""

from __future__ import annotations
