"""Runners reach the state in the document even while an issuer is paused."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio

from lycheepath.core.environment.model import Model, Role, WeightStore
from lycheepath.core.orders.issuers import plan_issuer
from lycheepath.core.orders.planning import TAKEOVER_DELAY_S

if TYPE_CHECKING:
    from lycheepath.core.environment.model import Environment
    from standins.fleet import Fleet

RUNNERS = {"runner-1": True, "runner-2": False}
HOSTS = ("host-1", "host-2")
SETTLE_LIMIT_S = 15.0
OBSERVATION_S = 3.0
POLL_S = 0.1


async def test_runners_follow_the_document_while_one_issuer_is_paused(
    fleet: Fleet,
) -> None:
    """
    The first-ranked issuer of runner 2 is paused across a revision, then resumed.

    Runner 1 checks fencing numbers, runner 2 ignores them.
    """
    for name, checks_fencing in RUNNERS.items():
        await fleet.start_engine(
            name, "accra-a", models=("a",), checks_fencing=checks_fencing, load_ms=200
        )
    for name in HOSTS:
        fleet.add_host(name, "accra-a")
    await _publish(fleet, ("a",), Role.ANY)
    await fleet.start_hosts()
    await _publish(fleet, ("a", "b"), Role.DECODE)
    await _wait_settled(fleet, ("a", "b"), Role.DECODE, SETTLE_LIMIT_S)

    first = fleet.build_environment()
    paused = fleet.processes[_find_host(first, "runner-2", 0)]
    paused.stop()
    await _publish(fleet, ("b",), Role.PREFILL)
    limit_s = SETTLE_LIMIT_S + TAKEOVER_DELAY_S
    await _wait_settled(fleet, ("b",), Role.PREFILL, limit_s)
    paused.resume()
    await trio.sleep(OBSERVATION_S)
    await _wait_settled(fleet, ("b",), Role.PREFILL, SETTLE_LIMIT_S)
    before = await _count_orders(fleet)
    assert before >= 2 * len(RUNNERS)
    await trio.sleep(OBSERVATION_S)
    assert await _count_orders(fleet) == before


async def _publish(fleet: Fleet, models: tuple[str, ...], role: Role) -> None:
    for name in RUNNERS:
        target = fleet.targets[name]
        fleet.targets[name] = replace(target, models=models, role=role)
    await fleet.publish_environment(
        models=tuple(Model(model, weights_bytes=1_000) for model in models),
        weight_store=WeightStore("accra", bytes_per_s=1_000_000),
    )


def _find_host(environment: Environment, runner: str, rank: int) -> str:
    (found,) = [
        host for host in HOSTS if plan_issuer(environment, host).ranks[runner] == rank
    ]
    return found


async def _wait_settled(
    fleet: Fleet, models: tuple[str, ...], role: Role, limit_s: float
) -> None:
    with trio.fail_after(limit_s):
        while True:
            reports = [await fleet.read(name, "/v1/load") for name in RUNNERS]
            if all(_is_settled(report, models, role) for report in reports):
                return
            await trio.sleep(POLL_S)


def _is_settled(report: dict[str, Any], models: tuple[str, ...], role: Role) -> bool:
    loaded = {name for name, state in report["models"].items() if state == "loaded"}
    return loaded == set(models) and report["role"] == role.value


async def _count_orders(fleet: Fleet) -> int:
    """Return the number of orders that all hosts have sent."""
    total = 0
    for name in HOSTS:
        page = await fleet.client.get(f"{fleet.processes[name].url}/metrics")
        for line in page.text.splitlines():
            if "orders_total{" in line:
                total += int(float(line.rpartition(" ")[2]))
    return total
