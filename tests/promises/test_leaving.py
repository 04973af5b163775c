"""Draining targets soon get no new work; shutdown completes in-flight requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from standins.caller import Kind, build_messages

if TYPE_CHECKING:
    from standins.caller import Outcome
    from standins.fleet import Fleet

PROPAGATION_LIMIT_S = 5.0
HOSTS = ("accra-1", "accra-2", "accra-3")


async def start_fleet(fleet: Fleet, **options: Any) -> None:
    """Start two engines, two instances of a service and three hosts."""
    for number in (1, 2):
        await fleet.start_engine(f"runner-{number}", "accra-a", **options)
        await fleet.start_service(f"booking-{number}", "accra-a", "booking")
    for name in HOSTS:
        fleet.add_host(name, "accra-a")
    await fleet.publish_environment()
    await fleet.start_hosts()


async def ask_all(fleet: Fleet, label: str) -> list[Outcome]:
    """Send chat requests and service calls to each host."""
    outcomes = []
    for host in HOSTS:
        address = fleet.processes[host].address
        for number in range(4):
            messages = build_messages(f"{label} {host} {number}")
            outcomes.append(await fleet.caller().ask(address, messages, max_tokens=4))
            outcomes.append(
                await fleet.caller().call_service(
                    address, "booking", "/slots", method="GET", action=label
                )
            )
    return outcomes


async def test_leaving_target_gets_no_new_work_while_the_platform_is_down(
    fleet: Fleet,
) -> None:
    await start_fleet(fleet)
    await fleet.control("platform", down=True)
    await fleet.control("runner-1", state="leaving")
    await fleet.control("booking-1", state="leaving")
    await trio.sleep(PROPAGATION_LIMIT_S)
    before = await fleet.read("runner-1", "/control/seen")
    executed = await fleet.read("booking-1", "/control/executions")
    outcomes = await ask_all(fleet, "late")
    assert {outcome.kind for outcome in outcomes} == {Kind.WHOLE}
    after = await fleet.read("runner-1", "/control/seen")
    assert len(after["seen"]) == len(before["seen"])
    assert await fleet.read("booking-1", "/control/executions") == executed


async def test_listed_leaving_target_gets_no_new_work(fleet: Fleet) -> None:
    await start_fleet(fleet)
    await fleet.publish_hosts(leaving=["runner-2"])
    await trio.sleep(PROPAGATION_LIMIT_S)
    before = await fleet.read("runner-2", "/control/seen")
    await ask_all(fleet, "listed")
    after = await fleet.read("runner-2", "/control/seen")
    assert len(after["seen"]) == len(before["seen"])


async def test_graceful_shutdown_completes_in_flight_requests(fleet: Fleet) -> None:
    await start_fleet(fleet, token_ms=50)
    address = fleet.processes["accra-1"].address
    outcomes: list[Outcome] = []

    async def ask(number: int) -> None:
        messages = build_messages(f"long {number}")
        stream = number % 2 == 0
        outcomes.append(
            await fleet.caller().ask(address, messages, max_tokens=60, stream=stream)
        )

    async with trio.open_nursery() as nursery:
        for number in range(6):
            nursery.start_soon(ask, number)
        await trio.sleep(1.0)
        fleet.processes["accra-1"].terminate()
        await trio.sleep(0.5)
        refused = await fleet.caller().ask(address, build_messages("new"))
        assert refused.reason == "draining"
        assert {host["id"] for host in refused.body["hosts"]} == {"accra-2", "accra-3"}
    assert [outcome.kind for outcome in outcomes] == [Kind.WHOLE] * 6, outcomes
    assert await fleet.processes["accra-1"].wait(10.0) == 0


async def test_hosts_stop_listing_a_host_that_shuts_down(
    fleet: Fleet,
) -> None:
    await start_fleet(fleet, token_ms=50)
    draining = fleet.processes["accra-1"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_answer_open, fleet, draining.address)
        await trio.sleep(0.5)
        draining.terminate()
        with trio.fail_after(PROPAGATION_LIMIT_S):
            for name in HOSTS[1:]:
                while "accra-1" in await list_host_ids(fleet, name):
                    await trio.sleep(0.05)


async def keep_answer_open(fleet: Fleet, address: str) -> None:
    """Keep a request in flight with a long streamed answer."""
    await fleet.caller().ask(address, build_messages("hold"), max_tokens=200)


async def list_host_ids(fleet: Fleet, host: str) -> set[str]:
    """Return the ids of the hosts that a host lists to callers."""
    answer = await fleet.caller().find_hosts(fleet.processes[host].address)
    return {entry["id"] for entry in answer}


async def test_shutdown_is_bounded_by_the_drain_time(fleet: Fleet) -> None:
    fleet.settings["drain_s"] = 2.0
    await start_fleet(fleet, token_ms=100)
    host = fleet.processes["accra-1"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_answer_open, fleet, host.address)
        await trio.sleep(0.5)
        host.terminate()
        assert await host.wait(8.0) == 0


@pytest.mark.parametrize("signals", [1, 2])
async def test_host_that_is_told_to_end_again_finishes_its_streams(
    fleet: Fleet, signals: int
) -> None:
    await start_fleet(fleet, token_ms=50)
    outcomes = await ask_while_ending(fleet, 60, stream=True, signals=signals)
    assert [outcome.kind for outcome in outcomes] == [Kind.WHOLE]


@pytest.mark.parametrize("stream", [False, True])
async def test_request_that_outlasts_a_drain_ends_with_a_complete_failure(
    fleet: Fleet, stream: bool
) -> None:
    fleet.settings["drain_s"] = 3.0
    await start_fleet(fleet, token_ms=100)
    outcomes = await ask_while_ending(fleet, 100, stream=stream, signals=1)
    assert outcomes[0].kind is not Kind.BROKEN


async def test_request_that_a_target_may_have_when_its_host_ends_is_not_said_to_have_not_run(
    fleet: Fleet,
) -> None:
    fleet.settings["drain_s"] = 3.0
    await start_fleet(fleet)
    for number in (1, 2):
        fleet.processes[f"runner-{number}"].stop()
    outcomes = await ask_while_ending(fleet, 100, stream=False, signals=1)
    assert (outcomes[0].kind, outcomes[0].run) == (Kind.UNKNOWN, "unknown")


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_that_outlasts_a_drain_ends_with_a_complete_failure(
    fleet: Fleet, method: str
) -> None:
    fleet.settings["drain_s"] = 3.0
    await start_fleet(fleet)
    host = fleet.processes[HOSTS[0]]
    ticket = ""
    if method == "POST":
        outcome = await fleet.caller().take_ticket(host.address, "booking")
        ticket = str(outcome.body["ticket"])
    for number in (1, 2):
        fleet.processes[f"booking-{number}"].stop()
    outcomes: list[Outcome] = []
    ended_s = 99.0

    async def ask() -> None:
        outcomes.append(
            await fleet.caller().call_service(
                host.address,
                "booking",
                "/slots",
                method=method,
                action="a",
                ticket=ticket,
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.5)
        told_at = trio.current_time()
        host.terminate()
        with trio.move_on_after(20.0):
            await host.wait(20.0)
        ended_s = trio.current_time() - told_at
    assert outcomes[0].kind is not Kind.BROKEN
    assert ended_s < 3.5


async def ask_while_ending(
    fleet: Fleet, max_tokens: int, stream: bool, signals: int
) -> list[Outcome]:
    """Tell a host to end while it answers a chat; return the outcome."""
    host = fleet.processes[HOSTS[0]]
    outcomes = []

    async def ask() -> None:
        messages = build_messages("long")
        outcomes.append(
            await fleet.caller().ask(
                host.address, messages, max_tokens=max_tokens, stream=stream
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(1.0)
        for _ in range(signals):
            host.terminate()
            await trio.sleep(0.3)
    return outcomes
