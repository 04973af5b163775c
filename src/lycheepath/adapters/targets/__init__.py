"""HTTP clients for targets (httpx)."""

from __future__ import annotations
