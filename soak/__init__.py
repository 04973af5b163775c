"""Plays random faults against real gateways on loopback and checks promises."""

from __future__ import annotations
