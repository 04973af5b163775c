"""
The settings of one host process.

They contain what a process can't get from the platform: its identity, its listen
addresses, the platform's URL and the keys that peers share.
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
    """The URL of the configuration service, and the environment to read."""

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
    its owner refuses it. ``hold_s`` is how long a holder stores the claims of
    a host that shut down. After a start without a handover, callers' keys are
    refused for the longer of ``hold_s`` and a service's resend window plus
    ``freshness_s``.
    """

    freshness_s: float = 10.0
    hold_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Settings:
    """
    The settings of one host.

    ``listen_callers`` and ``listen_peers`` are ``IP:port``. The first of
    ``peer_keys`` signs; all of them are accepted, so that a key can be
    rotated without interruption. ``seeds`` are peers to query at the start,
    also while the platform is down. ``operator_key_sha256`` is the hexadecimal
    SHA-256 of the key that gives access to the operators' pages; if it is
    empty, nobody has access.
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
