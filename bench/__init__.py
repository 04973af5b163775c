"""Benchmarks: commands that measure one host on this machine."""

from __future__ import annotations
