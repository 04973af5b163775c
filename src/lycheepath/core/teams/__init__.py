"""Whose request it is, and what its team may use of the fleet."""

from __future__ import annotations
