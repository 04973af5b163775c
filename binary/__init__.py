"""Building of the one-file binary."""

from __future__ import annotations
