"""Typed protocols that adapters implement for the hosts."""

from __future__ import annotations
