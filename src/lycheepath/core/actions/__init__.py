"""Actions that must run at most once: claims, tickets, issuers and handovers."""

from __future__ import annotations
