"""HTTP towards targets (httpx)."""

from __future__ import annotations
