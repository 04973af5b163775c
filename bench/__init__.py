"""Benchmarks of a host and of its components, run on the local machine."""

from __future__ import annotations
