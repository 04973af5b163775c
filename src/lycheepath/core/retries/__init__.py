"""What may be repeated, how often, and when."""

from __future__ import annotations
