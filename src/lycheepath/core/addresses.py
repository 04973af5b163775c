"""Addresses of listeners, as an IP and a port."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ``ValueError`` for any other text."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise ValueError(f"{text!r} is not IP:PORT")
    return Address(ip, int(port))
