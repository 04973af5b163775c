"""
Under any two concurrent faults, callers' and targets' records are consistent.

``LYCHEEPATH_FAULT_SEEDS=1,2,3`` runs other seeds; each draws two faults.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from standins.caller import Kind, build_messages

from .links import Links

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.caller import Outcome
    from standins.fleet import Fleet

SEEDS = [
    int(seed) for seed in os.environ.get("LYCHEEPATH_FAULT_SEEDS", "1,2").split(",")
]
REGIONS = ("accra", "kumasi")
HOSTS = tuple(f"{region}-{number}" for region in REGIONS for number in (1, 2))
SERVICE = "booking"
FAULT_S = 3.0
RECOVERY_LIMIT_S = 20.0
SEND_COUNT = 3


@dataclass
class Records:
    """Outcomes that callers saw: of chats, and of each attempt of each action."""

    chats: list[Outcome] = field(default_factory=list)
    actions: dict[str, list[Outcome]] = field(default_factory=dict)


@dataclass
class Scenario:
    """State of one run: a fleet that is subjected to two faults."""

    fleet: Fleet
    links: Links
    random: Random
    records: Records = field(default_factory=Records)

    async def chat(self, number: int) -> None:
        """Send one chat request to a random host."""
        host = self.random.choice(HOSTS)
        region = host.rsplit("-", 1)[0]
        caller = self.fleet.caller(region=region)
        address = self.fleet.processes[host].address
        messages = build_messages(f"question {number}")
        outcome = await caller.ask(address, messages, max_tokens=20)
        self.records.chats.append(outcome)

    async def send_action(self, number: int) -> None:
        """Send one action ``SEND_COUNT`` times, with a ticket or an idempotency key."""
        name = f"action-{number}"
        region = self.random.choice(REGIONS)
        caller = self.fleet.caller(region=region)
        hosts = [host for host in HOSTS if host.startswith(region)]
        ticket = ""
        if number % 2:
            address = self.fleet.processes[self.random.choice(hosts)].address
            taken = await caller.take_ticket(address, SERVICE)
            if taken.kind is not Kind.WHOLE:
                return
            ticket = taken.body["ticket"]
        attempts = self.records.actions.setdefault(name, [])
        for _ in range(SEND_COUNT):
            address = self.fleet.processes[self.random.choice(hosts)].address
            attempts.append(
                await caller.call_service(
                    address,
                    SERVICE,
                    "/deposits",
                    ticket=ticket,
                    idempotency_key="" if ticket else name,
                    action=name,
                )
            )
            await trio.sleep(self.random.random() * 0.3)

    def relaunch(self, host: str) -> None:
        """Restart a host, unless the other fault has already done so."""
        if not self.fleet.processes[host].running:
            self.links.launch(host)

    async def load(self, until: float) -> None:
        """Send chats and actions until a time."""
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self.chat, number)
                nursery.start_soon(self.send_action, number)
                number += 1
                await trio.sleep(0.1)


async def kill_host(scenario: Scenario) -> None:
    name = scenario.random.choice(HOSTS)
    await scenario.fleet.processes[name].kill()
    await trio.sleep(1.0)
    scenario.relaunch(name)


async def restart_host(scenario: Scenario) -> None:
    name = scenario.random.choice(HOSTS)
    scenario.fleet.processes[name].terminate()
    await scenario.fleet.processes[name].wait(15.0)
    scenario.relaunch(name)


async def pause_host(scenario: Scenario) -> None:
    process = scenario.fleet.processes[scenario.random.choice(HOSTS)]
    process.stop()
    await trio.sleep(FAULT_S)
    process.resume()


async def kill_engine(scenario: Scenario) -> None:
    name = scenario.random.choice([n for n in scenario.fleet.targets if "runner" in n])
    process = scenario.fleet.processes[name]
    zone = scenario.fleet.targets[name].zone
    await process.kill()
    await trio.sleep(1.0)
    await scenario.fleet.start_engine(name, zone, port=process.port, token_ms=20)


async def kill_service(scenario: Scenario) -> None:
    name = scenario.random.choice([n for n in scenario.fleet.targets if SERVICE in n])
    process = scenario.fleet.processes[name]
    zone = scenario.fleet.targets[name].zone
    await process.kill()
    await trio.sleep(1.0)
    await scenario.fleet.start_service(name, zone, SERVICE, port=process.port)


async def drop_answers(scenario: Scenario) -> None:
    name = scenario.random.choice([n for n in scenario.fleet.targets if SERVICE in n])
    await scenario.fleet.control(name, drop_answers=True)
    await trio.sleep(FAULT_S)
    await scenario.fleet.control(name, drop_answers=False)


async def cut_regions(scenario: Scenario) -> None:
    remote_targets = [n for n in scenario.fleet.targets if "kumasi" in n]
    await scenario.links.cut(HOSTS[:2], [*HOSTS[2:], *remote_targets])
    await scenario.links.cut(HOSTS[2:], ["platform"])
    await trio.sleep(FAULT_S)
    scenario.links.heal()


async def cut_one_way(scenario: Scenario) -> None:
    host, other = scenario.random.sample(HOSTS, 2)
    scenario.links.cut_one_way(host, other)
    await trio.sleep(FAULT_S)
    scenario.links.heal()


async def lose_platform(scenario: Scenario) -> None:
    await scenario.fleet.control("platform", down=True)
    await trio.sleep(FAULT_S)
    await scenario.fleet.control("platform", down=False)


async def publish_twice(scenario: Scenario) -> None:
    for _ in range(2):
        try:
            await publish(scenario.fleet)
        except OSError:
            return
        await trio.sleep(0.5)


FAULTS: tuple[Callable[[Scenario], Awaitable[None]], ...] = (
    kill_host,
    restart_host,
    pause_host,
    kill_engine,
    kill_service,
    drop_answers,
    cut_regions,
    cut_one_way,
    lose_platform,
    publish_twice,
)


async def publish(fleet: Fleet) -> None:
    """Publish the next revision with a short resend window."""
    services = fleet.build_environment().services
    short = tuple(replace(service, resend_window_s=4.0) for service in services)
    await fleet.publish_environment(services=short)


async def start_scenario(fleet: Fleet, seed: int) -> Scenario:
    """Start two regions with two hosts, two engines and a service each."""
    fleet.settings["actions"] = {"freshness_s": 2.0, "hold_s": 6.0}
    for region in REGIONS:
        zone = f"{region}-a"
        for number in (1, 2):
            fleet.add_host(f"{region}-{number}", zone)
            await fleet.start_engine(f"runner-{region}-{number}", zone, token_ms=20)
        await fleet.start_service(f"{SERVICE}-{region}", zone, SERVICE)
        fleet.caller(region=region)
    await publish(fleet)
    links = Links(fleet)
    await links.start_hosts(*HOSTS)
    await trio.sleep(8.0)
    return Scenario(fleet, links, Random(seed))


async def wait_until_recovered(scenario: Scenario) -> None:
    """Wait until every host completes a chat."""
    with trio.fail_after(RECOVERY_LIMIT_S):
        for host in HOSTS:
            caller = scenario.fleet.caller(region=host.rsplit("-", 1)[0])
            address = scenario.fleet.processes[host].address
            while True:
                outcome = await caller.ask(address, build_messages(f"after {host}"))
                if outcome.kind is Kind.WHOLE:
                    break
                await trio.sleep(0.2)


async def check_guarantees(scenario: Scenario) -> None:
    """Check the callers' outcomes against the targets' execution records."""
    chats = scenario.records.chats
    assert not [o for o in chats if o.kind is Kind.WRONG], chats
    executions = await scenario.fleet.count_executions()
    for name, attempts in scenario.records.actions.items():
        count = executions.get(name, 0)
        assert count <= 1, (name, count, attempts)
        if any(attempt.run == "not-run" for attempt in attempts):
            assert count == 0, (name, attempts)
        if any(attempt.kind is Kind.WHOLE for attempt in attempts):
            assert count == 1, (name, attempts)


def summarise(scenario: Scenario) -> str:
    """Return the numbers of chats and actions by kind of outcome."""
    kinds = [outcome.kind for outcome in scenario.records.chats]
    chats = {kind.value: kinds.count(kind) for kind in Kind if kind in kinds}
    final = [attempts[-1].kind for attempts in scenario.records.actions.values()]
    actions = {kind.value: final.count(kind) for kind in Kind if kind in final}
    return f"chats {chats}, actions {actions}"


@pytest.mark.parametrize("seed", SEEDS)
async def test_fault_pair_violates_no_guarantee(fleet: Fleet, seed: int) -> None:
    scenario = await start_scenario(fleet, seed)
    first, second = scenario.random.sample(FAULTS, 2)
    until = trio.current_time() + 2 * FAULT_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scenario.load, until)
        await trio.sleep(1.0)
        nursery.start_soon(first, scenario)
        await trio.sleep(scenario.random.random())
        nursery.start_soon(second, scenario)
    scenario.links.heal()
    await wait_until_recovered(scenario)
    await check_guarantees(scenario)
    names = f"{first.__name__} + {second.__name__}"
    print(f"seed {seed}: {names}: {summarise(scenario)}")
