"""Decides which requests are retried, how often and when."""

from __future__ import annotations
