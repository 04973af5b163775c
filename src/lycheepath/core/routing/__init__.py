"""Which target serves a request: the book of targets, the choice, the spill."""

from __future__ import annotations
