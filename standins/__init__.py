"""Small processes that stand in for what surrounds the gateway."""

from __future__ import annotations
