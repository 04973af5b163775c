"""Rate limits of teams, and the fair queue for requests when targets are full."""

from __future__ import annotations
