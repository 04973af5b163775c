"""Addresses of listeners, as an IP and a port."""

from __future__ import annotations

from typing import NamedTuple

from .json_values import describe

MAX_PORT = 65_535
# Digits of the largest port.
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ``ValueError`` for any other text."""
    ip, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not ip or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected IP:PORT, found {describe(text)}")
    return Address(ip, int(port))
