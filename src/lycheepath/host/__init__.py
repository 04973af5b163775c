"""One entry host: connects the core to the adapters."""

from __future__ import annotations
