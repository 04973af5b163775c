"""Selection of the hosts that a caller should use."""

from __future__ import annotations
