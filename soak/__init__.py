"""Injects random faults into real gateways on loopback and checks guarantees."""

from __future__ import annotations
