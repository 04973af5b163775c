"""Demonstrates a complete deployment under load and failures."""

from __future__ import annotations
