"""Actions run at most once, and "not-run" is reported only if none ran."""

from __future__ import annotations

from dataclasses import replace
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import trio

from lycheepath.core.actions.issuance import rank_hosts
from standins.caller import Kind
from standins.fleet import TEAM

if TYPE_CHECKING:
    from standins.caller import Outcome
    from standins.fleet import Fleet

SERVICE = "booking"
ISSUER = "host-3"
OPERATOR_KEY = "operators"
WINDOW_S = 4.0
LONG_WINDOW_S = 25.0
FRESHNESS_S = 2.0
HOLD_S = 5.0
ATTESTATION_LIMIT_S = 40.0


async def start_booking_fleet(fleet: Fleet, window_s: float = WINDOW_S) -> None:
    """Start three hosts in one region and two instances of a service."""
    digest = sha256(OPERATOR_KEY.encode()).hexdigest()
    fleet.settings["operator_key_sha256"] = digest
    hold_s = max(HOLD_S, 0.8 * window_s)
    fleet.settings["actions"] = {"freshness_s": FRESHNESS_S, "hold_s": hold_s}
    for name in ("booking-1", "booking-2"):
        await fleet.start_service(name, "accra-a", SERVICE)
    for number in (1, 2, 3):
        fleet.add_host(f"host-{number}", "accra-a")
    services = fleet.build_environment().services
    short = tuple(replace(service, resend_window_s=window_s) for service in services)
    await fleet.publish_environment(services=short)
    await fleet.start_hosts()
    await wait_until_attesting(fleet)


async def wait_until_attesting(fleet: Fleet) -> None:
    """Wait until every host attests callers' idempotency keys."""
    with trio.fail_after(ATTESTATION_LIMIT_S):
        for host in fleet.hosts:
            while True:
                status = await read_status(fleet, host)
                if status["vouches_for_keys"] and status["keys_wait_s"] == 0:
                    break
                await trio.sleep(0.1)


async def read_status(fleet: Fleet, host: str) -> Any:
    """Return a host's operator status."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{fleet.processes[host].url}/operator/status"
    return (await fleet.client.get(url, headers=headers)).json()


async def book(fleet: Fleet, host: str, key: str, ticket: str = "") -> Outcome:
    """Send one booking through a host, with an idempotency key or a ticket."""
    return await fleet.caller().call_service(
        fleet.processes[host].address,
        SERVICE,
        "/deposits",
        idempotency_key="" if ticket else key,
        ticket=ticket,
        action=key,
        json={"amount": 5},
    )


def choose_keys(fleet: Fleet) -> list[str]:
    """Return keys for at least half of which ``ISSUER`` is the issuer."""
    keys = [f"key-{number}" for number in range(6)]
    owned = [
        key for key in keys if rank_hosts(fleet.hosts, TEAM, SERVICE, key)[0] == ISSUER
    ]
    assert len(owned) >= len(keys) // 2
    return keys


async def take_ticket(fleet: Fleet, host: str) -> str:
    """Return a ticket issued by a host."""
    caller = fleet.caller()
    outcome = await caller.take_ticket(fleet.processes[host].address, SERVICE)
    return str(outcome.body["ticket"])


async def test_ticket_runs_once_through_all_hosts_at_once(fleet: Fleet) -> None:
    await start_booking_fleet(fleet)
    ticket = await take_ticket(fleet, "host-1")
    outcomes: list[Outcome] = []

    async def send(host: str) -> None:
        outcomes.append(await book(fleet, host, "deposit-1", ticket))

    async with trio.open_nursery() as nursery:
        for host in ("host-1", "host-2", "host-3") * 5:
            nursery.start_soon(send, host)
    assert (await fleet.count_executions())["deposit-1"] == 1
    assert any(outcome.kind is Kind.WHOLE for outcome in outcomes)
    assert all(o.kind in (Kind.WHOLE, Kind.UNKNOWN) for o in outcomes)


async def test_ticket_of_a_killed_owner_is_void_after_its_restart(
    fleet: Fleet,
) -> None:
    await start_booking_fleet(fleet)
    unused = await take_ticket(fleet, "host-1")
    used = await take_ticket(fleet, "host-1")
    assert (await book(fleet, "host-2", "used", used)).kind is Kind.WHOLE
    await fleet.processes["host-1"].kill()
    while_down = await book(fleet, "host-2", "unused", unused)
    assert while_down.kind is Kind.UNKNOWN
    assert while_down.retry_after_s > 0
    await fleet.start_host("host-1")
    for host in ("host-1", "host-2", "host-3"):
        for key, ticket in (("unused", unused), ("used", used)):
            outcome = await book(fleet, host, key, ticket)
            assert outcome.kind is Kind.UNKNOWN, outcome
    executions = await fleet.count_executions()
    assert executions["used"] == 1
    assert "unused" not in executions


async def test_key_runs_once_when_its_issuer_is_killed_and_restarted(
    fleet: Fleet,
) -> None:
    await start_booking_fleet(fleet, LONG_WINDOW_S)
    keys = choose_keys(fleet)
    for key in keys:
        assert (await book(fleet, "host-1", key)).kind is Kind.WHOLE
    await fleet.processes[ISSUER].kill()
    for key in keys:
        assert (await book(fleet, "host-2", key)).kind in (Kind.WHOLE, Kind.UNKNOWN)
    await fleet.start_host(ISSUER)
    with trio.fail_after(ATTESTATION_LIMIT_S):
        while not (await read_status(fleet, ISSUER))["vouches_for_keys"]:
            await trio.sleep(0.05)
    for key in keys:
        for host in fleet.hosts:
            assert (await book(fleet, host, key)).kind in (Kind.WHOLE, Kind.UNKNOWN)
    executions = await fleet.count_executions()
    assert [executions[key] for key in keys] == [1] * len(keys)


async def test_key_is_answered_after_a_graceful_restart(fleet: Fleet) -> None:
    await start_booking_fleet(fleet, LONG_WINDOW_S)
    keys = choose_keys(fleet)
    for key in keys:
        assert (await book(fleet, "host-1", key)).kind is Kind.WHOLE
    fleet.processes[ISSUER].terminate()
    assert await fleet.processes[ISSUER].wait(15.0) == 0
    await fleet.start_host(ISSUER)
    await wait_until_attesting(fleet)
    outcomes = [await book(fleet, "host-2", key) for key in keys]
    assert [outcome.kind for outcome in outcomes] == [Kind.WHOLE] * len(keys)
    executions = await fleet.count_executions()
    assert [executions[key] for key in keys] == [1] * len(keys)


async def test_action_without_key_is_not_run_and_gets_a_ticket(fleet: Fleet) -> None:
    await start_booking_fleet(fleet)
    outcome = await fleet.caller().call_service(
        fleet.processes["host-1"].address, SERVICE, "/deposits", action="bare"
    )
    assert (outcome.status, outcome.run) == (428, "not-run")
    assert "bare" not in await fleet.count_executions()
    ticket = outcome.body["ticket"]
    assert (await book(fleet, "host-3", "bare", ticket)).kind is Kind.WHOLE


async def test_forged_ticket_is_refused(fleet: Fleet) -> None:
    await start_booking_fleet(fleet)
    ticket = await take_ticket(fleet, "host-1")
    forged = ticket[:-4] + ("aaaa" if ticket[-4:] != "aaaa" else "bbbb")
    outcome = await book(fleet, "host-1", "forged", forged)
    assert outcome.reason == "ticket-forged"
    assert "forged" not in await fleet.count_executions()


async def test_lost_answer_is_unknown_at_once_and_not_sent_again(
    fleet: Fleet,
) -> None:
    await start_booking_fleet(fleet)
    for name in ("booking-1", "booking-2"):
        await fleet.control(name, drop_answers=True)
    ticket = await take_ticket(fleet, "host-1")
    outcome = await book(fleet, "host-1", "lost", ticket)
    assert outcome.kind is Kind.UNKNOWN
    assert outcome.total_s < 5.0
    for name in ("booking-1", "booking-2"):
        await fleet.control(name, drop_answers=False)
    for host in fleet.hosts:
        assert (await book(fleet, host, "lost", ticket)).kind is Kind.UNKNOWN
    assert (await fleet.count_executions())["lost"] == 1


async def test_refused_connections_are_truly_not_run(fleet: Fleet) -> None:
    await start_booking_fleet(fleet)
    for name in ("booking-1", "booking-2"):
        await fleet.processes[name].kill()
    ticket = await take_ticket(fleet, "host-1")
    outcome = await book(fleet, "host-1", "refused", ticket)
    assert outcome.kind is Kind.REFUSED
    port = fleet.processes["booking-1"].port
    await fleet.start_service("booking-1", "accra-a", SERVICE, port=port)
    await trio.sleep(2.5)
    for host in fleet.hosts:
        again = await book(fleet, host, "refused", ticket)
        assert again.run == "not-run", again
    assert "refused" not in await fleet.count_executions()


async def test_paused_owner_runs_nothing_late(fleet: Fleet) -> None:
    await start_booking_fleet(fleet)
    ticket = await take_ticket(fleet, "host-1")
    owner = fleet.processes["host-1"]
    owner.stop()
    outcomes: list[Outcome] = []

    async def send(host: str) -> None:
        outcomes.append(await book(fleet, host, "paused", ticket))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, "host-1")
        nursery.start_soon(send, "host-2")
        await trio.sleep(4.0)
        owner.resume()
    after = await book(fleet, "host-3", "paused", ticket)
    executions = (await fleet.count_executions()).get("paused", 0)
    assert executions <= 1
    if any(o.run == "not-run" for o in [*outcomes, after]):
        assert executions == 0
