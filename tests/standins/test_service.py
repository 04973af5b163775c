from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

if TYPE_CHECKING:
    from standins.fleet import Fleet


async def book(fleet: Fleet) -> httpx.Response:
    url = f"{fleet.processes['s'].url}/bookings"
    return await fleet.client.post(url, headers={"Idempotency-Key": "k"})


async def test_service_counts_every_execution_of_an_action(fleet: Fleet) -> None:
    await fleet.start_service("s", "a-1", "booking")

    answers = [(await book(fleet)).json() for _ in range(2)]
    await fleet.control("s", fail_status=503)
    refused = await book(fleet)

    assert [answer["execution"] for answer in answers] == [1, 2]
    assert refused.status_code == 503
    assert await fleet.read("s", "/control/executions") == {"k": 2}


async def test_service_executes_before_it_loses_the_answer(fleet: Fleet) -> None:
    service = await fleet.start_service("s", "a-1", "booking")

    for fault in ("drop_answers", "die_after_executing"):
        await fleet.control("s", **{fault: True})
        with pytest.raises(httpx.TransportError):
            await book(fleet)

    assert await service.wait() != 0
    assert await fleet.count_executions() == {"k": 2}
