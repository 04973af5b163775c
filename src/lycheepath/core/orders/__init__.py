"""Orders to runners: which models to load and which role to assume."""

from __future__ import annotations
