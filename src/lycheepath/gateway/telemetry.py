"""The metrics that a gateway exposes on its metrics address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ..core.placement.statements import count_brittle, count_limited

if TYPE_CHECKING:
    from .exchange import Exchange
    from .node import GatewayNode


# What callers and other hosts are told after a fault.
FAULT_REASON = "a fault in the gateway"
# What they are told about requests whose deadline has passed.
TIMEOUT_REASON = "the time is over"
# What they are told about requests that a drain has left no time for.
END_REASON = "this host ends"


def register_metrics(node: GatewayNode) -> None:
    """Register the counters and gauges of a node's components."""
    metrics = node.metrics
    metrics.watch_counters("connections", lambda: node.pool.counters)
    metrics.watch_counters("log_lines_omitted", lambda: node.events.omitted)
    metrics.watch_gauge("requests_serving", lambda: float(node.active_requests))
    metrics.watch_gauge("ready", lambda: float(node.ready))
    metrics.watch_gauge("configuration_version", lambda: float(node.catalog.version))
    metrics.watch_gauge("store_revision", lambda: float(node.catalog.revision))
    metrics.watch_gauge("buffered_bytes", lambda: float(node.buffers.used_bytes))
    metrics.watch_gauge("store_era", lambda: float(node.catalog.era))
    metrics.watch_gauge("targets_known", lambda: float(len(node.registry.targets)))
    metrics.watch_gauge(
        "suspects_blocked", lambda: float(node.containment.count_blocked())
    )
    metrics.watch_gauge("targets_brittle", lambda: float(count_brittle(node.registry)))
    metrics.watch_gauge("targets_limited", lambda: float(count_limited(node.registry)))
    metrics.watch_gauge(
        "targets_out_of_reach",
        lambda: float(len(node.links.reachability.list_unreachable())),
    )
    if node.view_proofs.is_strict:
        metrics.watch_gauge("view_proof_age_s", node.view_proofs.find_age_s)
    use = node.team_use
    metrics.watch_labelled_counters("team_admitted_total", "team", use.list_admitted)
    metrics.watch_labelled_counters("team_tokens_total", "team", use.list_tokens)
    registry = node.registry
    metrics.watch_gauges(
        "target_pace",
        "target",
        lambda: registry.paces.list_factors(registry.targets.values(), node.now()),
    )
    metrics.watch_gauge("serving", lambda: float(node.serving))
    metrics.watch_gauge(
        "hosts_live", lambda: float(len(node.peers.view.live_hosts(node.now())) + 1)
    )


def record_outcome(node: GatewayNode, exchange: Exchange, outcome: str) -> None:
    """Record the outcome and the duration of a caller's request."""
    metrics = node.metrics
    metrics.count("requests_total", outcome=outcome)
    metrics.record_ms("request_ms", (node.now() - exchange.received_at) * 1000.0)
    if exchange.first_event_s is not None:
        metrics.record_ms("first_event_ms", exchange.first_event_s * 1000.0)
        metrics.record_ms("longest_gap_ms", exchange.longest_gap_s * 1000.0)


def record_request_fault(node: GatewayNode, request_id: str) -> None:
    """Log and count the exception that is being handled, under a request's id."""
    logger.bind(request=request_id).exception("request-fault")
    node.metrics.count("request_faults_total")
