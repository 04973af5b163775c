"""HTTP towards callers, operators and peers (quart-trio on hypercorn)."""

from __future__ import annotations
