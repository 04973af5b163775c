"""
Synthesises the traces from a seed.

Run ``python -m traces.generator`` to write them to ``traces/recorded``. The
same seed always gives the same files, which a test compares.
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
FLOODER = "team-0"
DAY_S = 180.0
FAULT_START_S = 60.0
FAULT_END_S = 120.0
RECORDED = Path(__file__).parent / "recorded"


def synthesise(deployment: Deployment, scenario: str, seed: int = SEED) -> Trace:
    """Return the trace of a scenario, one of ``SCENARIOS``."""
    random = Random(f"{seed}/{deployment.name}")
    requests = _draw_day(deployment, random)
    return SCENARIOS[scenario](deployment, requests, seed)


def synthesise_step(
    deployment: Deployment, base: float, peak: float, start_s: float, end_s: float
) -> Trace:
    """
    Return a trace without daily swing whose rate steps up and down again.

    ``base`` and ``peak`` are requests a second over all regions.
    """
    traffic = replace(deployment.traffic, mean_per_s=peak, swing=0.0)
    flat = replace(deployment, traffic=traffic)
    kept = [
        request
        for request in _draw_day(flat, Random(f"{SEED}/step"))
        if start_s <= request.at_s < end_s
        or hash_name(str(request.conversation)) % 1000 < 1000 * base / peak
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
        rate = traffic.mean_per_s / len(deployment.regions) / traffic.turns
        at = 0.0
        while at < DAY_S:
            at += random.expovariate(rate * (1.0 + traffic.swing))
            phase = at / DAY_S + region_number / len(deployment.regions)
            wanted = 1.0 + traffic.swing * math.sin(2.0 * math.pi * phase)
            if random.random() * (1.0 + traffic.swing) > wanted:
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


def _keep_day(
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


def _sicken_runner(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    runner = f"{deployment.regions[0]}-runner-0"
    fault = Fault(FaultKind.RUNNER_ERRORS, runner, FAULT_START_S, FAULT_END_S)
    return Trace(deployment.name, "runner-errors", seed, tuple(requests), (fault,))


def _flood(deployment: Deployment, requests: list[TracedRequest], seed: int) -> Trace:
    """One team sends as much as all others together, for a minute."""
    extra = [
        replace(
            request,
            team=FLOODER,
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


def _overload(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """All teams send four times as much, for a minute."""
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


def _heat_prefix(
    deployment: Deployment, requests: list[TracedRequest], seed: int
) -> Trace:
    """Half of the requests of one region share one long prefix, for a minute."""
    region = deployment.regions[0]
    hot = [
        replace(request, system=77, system_tokens=request.prompt_tokens - 32)
        if request.region == region
        and FAULT_START_S <= request.at_s < FAULT_END_S
        and request.conversation % 2
        else request
        for request in requests
    ]
    return Trace(deployment.name, "hot-prefix", seed, tuple(hot))


def _poison(deployment: Deployment, requests: list[TracedRequest], seed: int) -> Trace:
    """One request crashes each runner that meets it."""
    index = next(
        index
        for index, request in enumerate(requests)
        if request.at_s >= FAULT_START_S and not request.bound
    )
    changed = list(requests)
    changed[index] = replace(changed[index], poison=True)
    return Trace(deployment.name, "poison", seed, tuple(changed))


SCENARIOS: dict[str, Callable[[Deployment, list[TracedRequest], int], Trace]] = {
    "day": _keep_day,
    "region-lost": _lose_region,
    "runner-slow": _slow_runner,
    "runner-errors": _sicken_runner,
    "flood": _flood,
    "overload": _overload,
    "hot-prefix": _heat_prefix,
    "poison": _poison,
}


def main() -> None:
    """Write all traces."""
    RECORDED.mkdir(exist_ok=True)
    for deployment in DEPLOYMENTS.values():
        for scenario in SCENARIOS:
            trace = synthesise(deployment, scenario)
            path = RECORDED / f"{deployment.name}-{scenario}.csv.gz"
            write_trace(trace, path)
            print(f"{path.name}: {len(trace.requests)} requests")


if __name__ == "__main__":
    main()
