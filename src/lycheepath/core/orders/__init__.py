"""Orders to runners: which models to load and which role to take."""

from __future__ import annotations
