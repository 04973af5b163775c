"""Implementations of the ports with the libraries for HTTP, UDP, logs and metrics."""

from __future__ import annotations
