"""
The settings of one host process.

They name what a process can't learn from anywhere else: who it is, where it
listens, where the platform answers, and the keys that peers share.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerKey:
    """A key that authenticates messages between hosts; ``secret`` is raw bytes."""

    id: str
    secret: bytes


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the configuration service answers and which environment is read."""

    url: str
    environment: str


@dataclass(frozen=True, slots=True)
class LogSettings:
    """``format`` is ``json`` or ``text``; ``level`` a level name of loguru."""

    format: str = "json"
    level: str = "INFO"


@dataclass(frozen=True, slots=True)
class ActionSettings:
    """
    Times of actions that run at most once; the same at all hosts.

    ``freshness_s`` is how long a request may wait inside the system before
    its owner refuses it. ``hold_s`` is how long a host keeps the claims of one
    that left. Callers' keys wait for the longer of a service's resend window
    plus ``freshness_s`` and ``hold_s`` after a start without a handover.
    """

    freshness_s: float = 10.0
    hold_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Settings:
    """
    The settings of one host.

    ``listen_callers`` and ``listen_peers`` are ``IP:port``. The first of
    ``peer_keys`` signs; all of them are accepted, so that a key can be
    rotated without a gap. ``seeds`` are peers to ask while the platform is
    down. ``operator_key_sha256`` is the hexadecimal SHA-256 of the key that
    opens the operators' pages; empty closes them.
    """

    host: str
    zone: str
    region: str
    listen_callers: str
    listen_peers: str
    platform: PlatformSettings
    peer_keys: tuple[PeerKey, ...]
    seeds: tuple[str, ...] = ()
    drain_s: float = 30.0
    operator_key_sha256: str = ""
    log: LogSettings = LogSettings()
    actions: ActionSettings = ActionSettings()
