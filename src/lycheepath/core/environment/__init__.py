"""The environment document: its data model, reading, checks and differences."""

from __future__ import annotations
