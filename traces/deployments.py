"""The two replayed deployments: their environments and traffic parameters."""

from __future__ import annotations

from dataclasses import dataclass

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Limit,
    Link,
    Model,
    Region,
    ResidencyRule,
    Stage,
    Target,
    TargetKind,
    Weights,
    Zone,
)

MODEL = "assistant"


@dataclass(frozen=True, slots=True)
class Traffic:
    """
    The traffic parameters of a deployment.

    ``mean_requests_per_s`` is over all regions and the whole trace.
    ``daily_amplitude`` is the relative amplitude of a region's rate around its
    mean over one day, which the trace compresses. ``bound_share`` is the share
    of teams with a residency rule.
    """

    mean_requests_per_s: float
    daily_amplitude: float
    teams: int
    bound_share: float
    system_tokens: int
    first_turn_tokens: int
    turn_tokens: int
    turns: int
    think_s: float
    output_tokens: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment: regions, runners per region, weights, delays and traffic."""

    name: str
    regions: tuple[str, ...]
    runners_per_region: int
    weights: Weights
    one_way_ms: float
    client_ms: float
    traffic: Traffic


BRIDAL = Deployment(
    name="bridal",
    regions=("accra", "kumasi", "tamale"),
    runners_per_region=2,
    weights=Weights(cost=0.8, tail_latency=0.2),
    one_way_ms=30.0,
    client_ms=1.0,
    traffic=Traffic(
        mean_requests_per_s=15.0,
        daily_amplitude=0.7,
        teams=18,
        bound_share=0.2,
        system_tokens=768,
        first_turn_tokens=320,
        turn_tokens=256,
        turns=6,
        think_s=6.0,
        output_tokens=80,
        deadline_s=30.0,
    ),
)

EXCISE = Deployment(
    name="excise",
    regions=("perth", "bunbury", "geraldton"),
    runners_per_region=3,
    weights=Weights(cost=0.2, tail_latency=0.8),
    one_way_ms=25.0,
    client_ms=3.0,
    traffic=Traffic(
        mean_requests_per_s=17.0,
        daily_amplitude=0.7,
        teams=24,
        bound_share=0.38,
        system_tokens=1024,
        first_turn_tokens=1280,
        turn_tokens=256,
        turns=4,
        think_s=8.0,
        output_tokens=100,
        deadline_s=20.0,
    ),
)

DEPLOYMENTS = {BRIDAL.name: BRIDAL, EXCISE.name: EXCISE}


def name_teams(deployment: Deployment) -> dict[str, str]:
    """Return the home region of each team."""
    regions = deployment.regions
    return {
        f"team-{number}": regions[number % len(regions)]
        for number in range(deployment.traffic.teams)
    }


def find_bound_teams(deployment: Deployment) -> frozenset[str]:
    """Return the teams with a residency rule for their home region."""
    teams = list(name_teams(deployment))
    count = round(len(teams) * deployment.traffic.bound_share)
    return frozenset(teams[len(teams) - count :])


def build_environment(deployment: Deployment) -> Environment:
    """Return the environment document of a deployment."""
    regions = deployment.regions
    homes = name_teams(deployment)
    return Environment(
        name=deployment.name,
        revision=1,
        stage=Stage.PRODUCTION,
        regions=tuple(Region(name) for name in regions),
        zones=tuple(
            Zone(f"{name}-{part}", name) for name in regions for part in ("a", "b", "c")
        ),
        hosts=tuple(
            Host(f"{name}-host-{part}", f"{name}-{part}", "127.0.0.1:1", "127.0.0.1:2")
            for name in regions
            for part in ("a", "b", "c")
        ),
        targets=tuple(
            Target(
                id=f"{name}-runner-{number}",
                zone=f"{name}-{'abc'[number]}",
                address="127.0.0.1:3",
                kind=TargetKind.RUNNER,
                models=(MODEL,),
            )
            for name in regions
            for number in range(deployment.runners_per_region)
        ),
        models=(Model(MODEL),),
        links=tuple(
            Link((left, right), deployment.one_way_ms)
            for left in regions
            for right in regions
            if left < right
        ),
        residency=tuple(
            ResidencyRule(f"bind-{team}", homes[team], teams=(team,))
            for team in sorted(find_bound_teams(deployment))
        ),
        limits=(Limit("*", tokens_per_s=12_000.0, burst_tokens=120_000.0),),
        weights=deployment.weights,
    )
