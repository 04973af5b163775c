"""Recorded traces and their replay through the decision core alone."""

from __future__ import annotations
