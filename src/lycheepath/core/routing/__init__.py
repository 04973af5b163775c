"""Choice of the target for a request: target registry, scoring, spillover."""

from __future__ import annotations
