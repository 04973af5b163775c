"""One entry host: wires the core to its adapters."""

from __future__ import annotations
