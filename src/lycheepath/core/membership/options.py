"""The intervals and bounds of membership, in seconds and bytes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Options:
    """
    Tunable parameters; the defaults work for nine hosts as well as for 2,200.

    A member is probed every ``probe_interval_s`` divided by the number of
    probers. After each ``probe_timeout_s`` without an answer the probe is repeated,
    directly and through ``indirect_probes`` other members; after
    ``probe_deadline_s`` the member is suspected. It is declared dead
    ``suspicion_max_s`` later, or as early as ``suspicion_min_s`` once
    ``suspicion_accusers`` others agree.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3
    probe_deadline_s: float = 1.2
    indirect_probes: int = 3
    suspicion_min_s: float = 3.0
    suspicion_max_s: float = 8.0
    suspicion_accusers: int = 3
    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    transmissions_factor: int = 4
    sync_interval_s: float = 2.0
    dead_probe_interval_s: float = 2.0
    candidate_interval_s: float = 0.5
    summary_interval_s: float = 5.0
    summary_refresh_s: float = 30.0
    join_timeout_s: float = 2.0
    join_retry_s: float = 0.5
    directed_interval_s: float = 0.5
    pause_threshold_s: float = 1.0
    dead_retention_s: float = 3600.0
    max_members: int = 4096
    payload_bytes: int = 1000
    piggyback_bytes: int = 400
    gossip_bytes_per_s: float = 2500.0
    gossip_burst_bytes: float = 60_000.0
    directed_bytes_per_s: float = 2000.0
    directed_burst_bytes: float = 16_000.0
    max_directed_updates: int = 4096
    max_named_hosts: int = 24
