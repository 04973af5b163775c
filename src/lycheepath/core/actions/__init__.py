"""Actions that run at most once: claims, tickets, issuers, handovers."""

from __future__ import annotations
