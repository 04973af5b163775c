"""
Values of the environment document that a host's routing decisions need.

The context is computed once for each revision, not for each request::

    context = build_context(environment, "host-1", "accra", DEFAULT_POLICY)
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

from .policy import DEFAULT_POLICY, Policy
from .subset import compute_subset

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..environment.model import Environment, Link, Weights

DEFAULT_ONE_WAY_DELAY_S = 0.05
DEFAULT_MODEL_LOAD_S = 60.0


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """
    The environment from the point of view of one host.

    ``one_way_delay_s`` is the one-way network delay from this host to each
    region. ``model_load_s`` is the time to fetch each model's weights at the
    full rate of the weight store. ``preferred_targets`` are the targets that
    the host uses first.
    """

    host: str
    region: str
    weights: Weights
    one_way_delay_s: Mapping[str, float]
    model_load_s: Mapping[str, float]
    preferred_targets: frozenset[str]
    policy: Policy = DEFAULT_POLICY


def build_context(
    environment: Environment, host: str, region: str, policy: Policy
) -> RoutingContext:
    """Return the routing context of a host in a region."""
    delays = {
        item.id: _find_delay_s(environment.links, region, item.id)
        for item in environment.regions
    }
    return RoutingContext(
        host=host,
        region=region,
        weights=environment.weights,
        one_way_delay_s=MappingProxyType(delays),
        model_load_s=MappingProxyType(_compute_load_times(environment)),
        preferred_targets=compute_subset(environment, host, region),
        policy=policy,
    )


def _find_delay_s(links: tuple[Link, ...], region: str, other: str) -> float:
    if region == other:
        return 0.0
    for link in links:
        if set(link.regions) == {region, other}:
            return link.one_way_ms / 1000.0
    return DEFAULT_ONE_WAY_DELAY_S


def _compute_load_times(environment: Environment) -> dict[str, float]:
    store = environment.weight_store
    if store is None:
        return {model.id: DEFAULT_MODEL_LOAD_S for model in environment.models}
    return {
        model.id: model.weights_bytes / store.bytes_per_s
        for model in environment.models
    }
