"""Stand-in processes for the systems around the gateway."""

from __future__ import annotations
