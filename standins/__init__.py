"""Small stand-ins for the outside systems, each startable as its own process."""

from __future__ import annotations
