"""Decisions as plain functions over frozen data, without I/O or clocks."""

from __future__ import annotations
