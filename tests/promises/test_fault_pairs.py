"""
Any two faults together: the callers' and targets' records keep the promises.

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
SENDINGS = 3


@dataclass
class Records:
    """What callers saw: chats, and each sending of each action."""

    chats: list[Outcome] = field(default_factory=list)
    actions: dict[str, list[Outcome]] = field(default_factory=dict)


@dataclass
class Script:
    """One run: a fleet under two faults."""

    fleet: Fleet
    links: Links
    random: Random
    records: Records = field(default_factory=Records)

    async def chat(self, number: int) -> None:
        """Ask one question at a random host."""
        host = self.random.choice(HOSTS)
        region = host.rsplit("-", 1)[0]
        caller = self.fleet.caller(region=region)
        address = self.fleet.processes[host].address
        messages = build_messages(f"question {number}")
        outcome = await caller.ask(address, messages, max_tokens=20)
        self.records.chats.append(outcome)

    async def act(self, number: int) -> None:
        """Send one action several times, under a ticket or a key."""
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
        sendings = self.records.actions.setdefault(name, [])
        for _ in range(SENDINGS):
            address = self.fleet.processes[self.random.choice(hosts)].address
            sendings.append(
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
        """Start a host again, unless the other fault has done so already."""
        if not self.fleet.processes[host].running:
            self.links.launch(host)

    async def load(self, until: float) -> None:
        """Send chats and actions until a time."""
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self.chat, number)
                nursery.start_soon(self.act, number)
                number += 1
                await trio.sleep(0.1)


async def kill_host(script: Script) -> None:
    name = script.random.choice(HOSTS)
    await script.fleet.processes[name].kill()
    await trio.sleep(1.0)
    script.relaunch(name)


async def restart_host(script: Script) -> None:
    name = script.random.choice(HOSTS)
    script.fleet.processes[name].terminate()
    await script.fleet.processes[name].wait(15.0)
    script.relaunch(name)


async def pause_host(script: Script) -> None:
    process = script.fleet.processes[script.random.choice(HOSTS)]
    process.stop()
    await trio.sleep(FAULT_S)
    process.resume()


async def kill_engine(script: Script) -> None:
    name = script.random.choice([n for n in script.fleet.targets if "runner" in n])
    process = script.fleet.processes[name]
    zone = script.fleet.targets[name].zone
    await process.kill()
    await trio.sleep(1.0)
    await script.fleet.start_engine(name, zone, port=process.port, token_ms=20)


async def kill_service(script: Script) -> None:
    name = script.random.choice([n for n in script.fleet.targets if SERVICE in n])
    process = script.fleet.processes[name]
    zone = script.fleet.targets[name].zone
    await process.kill()
    await trio.sleep(1.0)
    await script.fleet.start_service(name, zone, SERVICE, port=process.port)


async def drop_answers(script: Script) -> None:
    name = script.random.choice([n for n in script.fleet.targets if SERVICE in n])
    await script.fleet.control(name, drop_answers=True)
    await trio.sleep(FAULT_S)
    await script.fleet.control(name, drop_answers=False)


async def cut_regions(script: Script) -> None:
    away = [n for n in script.fleet.targets if "kumasi" in n]
    await script.links.cut(HOSTS[:2], [*HOSTS[2:], *away])
    await script.links.cut(HOSTS[2:], ["platform"])
    await trio.sleep(FAULT_S)
    script.links.heal()


async def cut_one_way(script: Script) -> None:
    host, other = script.random.sample(HOSTS, 2)
    script.links.cut_one_way(host, other)
    await trio.sleep(FAULT_S)
    script.links.heal()


async def lose_platform(script: Script) -> None:
    await script.fleet.control("platform", down=True)
    await trio.sleep(FAULT_S)
    await script.fleet.control("platform", down=False)


async def publish_twice(script: Script) -> None:
    for _ in range(2):
        try:
            await publish(script.fleet)
        except OSError:
            return
        await trio.sleep(0.5)


FAULTS: tuple[Callable[[Script], Awaitable[None]], ...] = (
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


async def start_script(fleet: Fleet, seed: int) -> Script:
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
    return Script(fleet, links, Random(seed))


async def wait_until_recovered(script: Script) -> None:
    """Wait until every host answers a chat whole."""
    with trio.fail_after(RECOVERY_LIMIT_S):
        for host in HOSTS:
            caller = script.fleet.caller(region=host.rsplit("-", 1)[0])
            address = script.fleet.processes[host].address
            while True:
                outcome = await caller.ask(address, build_messages(f"after {host}"))
                if outcome.kind is Kind.WHOLE:
                    break
                await trio.sleep(0.2)


async def check_promises(script: Script) -> None:
    """Check the records of callers against those of the targets."""
    chats = script.records.chats
    assert not [o for o in chats if o.kind is Kind.WRONG], chats
    executions = await script.fleet.count_executions()
    for name, sendings in script.records.actions.items():
        count = executions.get(name, 0)
        assert count <= 1, (name, count, sendings)
        if any(sending.run == "not-run" for sending in sendings):
            assert count == 0, (name, sendings)
        if any(sending.kind is Kind.WHOLE for sending in sendings):
            assert count == 1, (name, sendings)


def summarise(script: Script) -> str:
    """Return how many chats and actions ended in which way."""
    kinds = [outcome.kind for outcome in script.records.chats]
    chats = {kind.value: kinds.count(kind) for kind in Kind if kind in kinds}
    final = [sendings[-1].kind for sendings in script.records.actions.values()]
    actions = {kind.value: final.count(kind) for kind in Kind if kind in final}
    return f"chats {chats}, actions {actions}"


@pytest.mark.parametrize("seed", SEEDS)
async def test_fault_pair_keeps_the_promises(fleet: Fleet, seed: int) -> None:
    script = await start_script(fleet, seed)
    first, second = script.random.sample(FAULTS, 2)
    until = trio.current_time() + 2 * FAULT_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(script.load, until)
        await trio.sleep(1.0)
        nursery.start_soon(first, script)
        await trio.sleep(script.random.random())
        nursery.start_soon(second, script)
    script.links.heal()
    await wait_until_recovered(script)
    await check_promises(script)
    names = f"{first.__name__} + {second.__name__}"
    print(f"seed {seed}: {names}: {summarise(script)}")
