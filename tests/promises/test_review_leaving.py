"""Review: calls of plain services that outlast a drain of the product's host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from tests.promises.test_leaving import HOSTS, start_fleet

if TYPE_CHECKING:
    from standins.caller import Outcome
    from standins.fleet import Fleet


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_call_that_outlasts_a_drain(fleet: Fleet, method: str) -> None:
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
    print("RESULT", method, round(ended_s, 2), outcomes)
    assert outcomes[0].kind.value != "connection broken"
    assert ended_s < 3.5
