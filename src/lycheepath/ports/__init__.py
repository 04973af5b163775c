"""Typed protocols between the core and the outside."""

from __future__ import annotations
