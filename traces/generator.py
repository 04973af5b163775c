"""
Generates the synthetic traces from a seed.

Run ``python -m traces.generator`` to write them to ``traces/recorded``. Equal
seeds give equal files; a test compares them with the recorded ones.
"""

from __future__ import annotations

import math
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from lycheepath.core.hosts.rendezvous import hash_name

from .deployments import DEPLOYMENTS, find_bound_teams, name_teams
from .trace import Fault, FaultKind, Trace, TracedRequest, write_trace

if TYPE_CHECKING:
    from collections.abc import Callable

    from .deployments import Deployment

SEED = 5
FLOODING_TEAM = "team-0"
DAY_S = 180.0
FAULT_START_S = 60.0
FAULT_END_S = 120.0
RECORDED_FOLDER = Path(__file__).parent / "recorded"


def synthesise(deployment: Deployment, scenario: str, seed: int = SEED) -> Trace:
    """Return the trace of a scenario, which is a key of ``SCENARIOS``."""
    random = Random(f"{seed}/{deployment.name}")
    requests = _draw_day(deployment, random)
    return SCENARIOS[scenario](deployment, requests, seed)


def synthesise_step(
    deployment: Deployment,
    base_rate: float,
    peak_rate: float,
    start_s: float,
    end_s: float,
) -> Trace:
    """
    Return a trace with a constant rate and one step of higher load.

    ``base_rate`` and ``peak_rate`` are in requests per second over all regions;
    ``peak_rate`` applies from ``start_s`` to ``end_s``.
    """
    traffic = replace(
        deployment.traffic, mean_requests_per_s=peak_rate, daily_amplitude=0.0
    )
    constant_rate = replace(deployment, traffic=traffic)
    kept = [
        request
        for request in _draw_day(constant_rate, Random(f"{SEED}/step"))
        if start_s <= request.at_s < end_s
        or hash_name(str(request.conversation)) % 1000 < 1000 * base_rate / peak_rate
    ]
    return Trace(deployment.name, "step", SEED, tuple(kept))


def _draw_day(deployment: Deployment, random: Random) -> list[TracedRequest]:
    traffic = deployment.traffic
    homes = name_teams(deployment)
    bound = find_bound_teams(deployment)
    requests: list[TracedRequest] = []
    conversation = 0
    for region_number, region in enumerate(deployment.regions):
        teams = [team for team, home in homes.items() if home == region]
        rate = traffic.mean_requests_per_s / len(deployment.regions) / traffic.turns
        at = 0.0
        while at < DAY_S:
            at += random.expovariate(rate * (1.0 + traffic.daily_amplitude))
            phase = at / DAY_S + region_number / len(deployment.regions)
            relative_rate = 1.0 + traffic.daily_amplitude * math.sin(
                2.0 * math.pi * phase
            )
            if random.random() * (1.0 + traffic.daily_amplitude) > relative_rate:
                continue
            conversation += 1
            team = random.choice(teams)
            first = TracedRequest(
                at_s=at,
                team=team,
                region=region,
                bound=team in bound,
                system=int(team.partition("-")[2]),
                system_tokens=traffic.system_tokens,
                conversation=conversation,
                prompt_tokens=traffic.system_tokens,
                output_tokens=0,
                priority=random.choice((3, 5, 5, 5, 7)),
                deadline_s=traffic.deadline_s,
                poison=False,
            )
            requests.extend(_draw_turns(deployment, first, random))
    return sorted(requests, key=lambda request: request.at_s)


def _draw_turns(
    deployment: Deployment, first: TracedRequest, random: Random
) -> list[TracedRequest]:
    traffic = deployment.traffic
    turns = []
    at = first.at_s
    tokens = first.prompt_tokens + _draw_size(traffic.first_turn_tokens, random)
    for _ in range(random.randint(1, 2 * traffic.turns - 1)):
        if at >= DAY_S:
            break
        turns.append(
            replace(
                first,
                at_s=round(at, 3),
                prompt_tokens=tokens,
                output_tokens=_draw_size(traffic.output_tokens, random),
            )
        )
        at += random.expovariate(1.0 / traffic.think_s)
        tokens += _draw_size(traffic.turn_tokens, random)
    return turns


def _draw_size(mean: int, random: Random) -> int:
    return max(16, int(random.lognormvariate(math.log(mean) - 0.125, 0.5)))


def _build_day(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    return Trace(deployment.name, "day", seed, tuple(requests))


def _lose_region(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    fault = Fault(
        FaultKind.REGION_LOST, deployment.regions[0], FAULT_START_S, FAULT_END_S
    )
    return Trace(deployment.name, "region-lost", seed, tuple(requests), (fault,))


def _slow_runner(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    runner = f"{deployment.regions[0]}-runner-0"
    fault = Fault(FaultKind.RUNNER_SLOW, runner, FAULT_START_S, FAULT_END_S)
    return Trace(deployment.name, "runner-slow", seed, tuple(requests), (fault,))


def _fail_runner(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    runner = f"{deployment.regions[0]}-runner-0"
    fault = Fault(FaultKind.RUNNER_ERRORS, runner, FAULT_START_S, FAULT_END_S)
    return Trace(deployment.name, "runner-errors", seed, tuple(requests), (fault,))


def _add_flood(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """Add one team that sends as much as all teams together for one minute."""
    extra = [
        replace(
            request,
            team=FLOODING_TEAM,
            region=deployment.regions[0],
            bound=False,
            system=0,
            conversation=1_000_000 + request.conversation,
            at_s=round(request.at_s + 0.001, 3),
        )
        for request in requests
        if FAULT_START_S <= request.at_s < FAULT_END_S
    ]
    merged = sorted([*requests, *extra], key=lambda request: request.at_s)
    return Trace(deployment.name, "flood", seed, tuple(merged))


def _add_overload(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """Multiply the requests of all teams by four for one minute."""
    extra = [
        replace(
            request,
            conversation=copy * 1_000_000 + request.conversation,
            at_s=round(request.at_s + 0.001 * copy, 3),
        )
        for copy in (1, 2, 3)
        for request in requests
        if FAULT_START_S <= request.at_s < FAULT_END_S
    ]
    merged = sorted([*requests, *extra], key=lambda request: request.at_s)
    return Trace(deployment.name, "overload", seed, tuple(merged))


def _share_prefix(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """Give half of one region's conversations one long prefix for one minute."""
    region = deployment.regions[0]
    changed = [
        replace(request, system=77, system_tokens=request.prompt_tokens - 32)
        if request.region == region
        and FAULT_START_S <= request.at_s < FAULT_END_S
        and request.conversation % 2
        else request
        for request in requests
    ]
    return Trace(deployment.name, "hot-prefix", seed, tuple(changed))


def _add_poison_request(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """Make one request crash each runner that receives it."""
    index = next(
        index
        for index, request in enumerate(requests)
        if request.at_s >= FAULT_START_S and not request.bound
    )
    changed = list(requests)
    changed[index] = replace(changed[index], poison=True)
    return Trace(deployment.name, "poison", seed, tuple(changed))


SCENARIOS: dict[str, Callable[[Deployment, list[TracedRequest], int], Trace]] = {
    "day": _build_day,
    "region-lost": _lose_region,
    "runner-slow": _slow_runner,
    "runner-errors": _fail_runner,
    "flood": _add_flood,
    "overload": _add_overload,
    "hot-prefix": _share_prefix,
    "poison": _add_poison_request,
}


def main() -> None:
    """Write the trace of every deployment and scenario to ``RECORDED_FOLDER``."""
    RECORDED_FOLDER.mkdir(exist_ok=True)
    for deployment in DEPLOYMENTS.values():
        for scenario in SCENARIOS:
            trace = synthesise(deployment, scenario)
            path = RECORDED_FOLDER / f"{deployment.name}-{scenario}.csv.gz"
            write_trace(trace, path)
            print(f"{path.name}: {len(trace.requests)} requests")


if __name__ == "__main__":
    main()
