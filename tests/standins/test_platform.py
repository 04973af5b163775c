from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

if TYPE_CHECKING:
    import httpx

    from standins.fleet import Fleet


async def read(fleet: Fleet, query: str = "") -> httpx.Response:
    url = f"{fleet.platform.url}/v1/values/hosts{query}"
    return await fleet.client.get(url)


async def test_platform_wakes_a_watch_at_the_next_revision(fleet: Fleet) -> None:
    await fleet.start_platform()
    await fleet.publish("hosts", 1, {"n": 1})
    answers: list[httpx.Response] = []

    async def watch() -> None:
        answers.append(await read(fleet, "?after=1&wait_s=20"))

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            while not (await fleet.read("platform", "/control/counts"))["watches"]:
                await trio.sleep(0.01)
            await fleet.publish("hosts", 2, {"n": 2})

    assert answers[0].json() == {"name": "hosts", "revision": 2, "value": {"n": 2}}
    assert (await read(fleet, "?after=2&wait_s=0.05")).status_code == 204
    counts = await fleet.read("platform", "/control/counts")
    assert counts["by_name"] == {"hosts": 2}


@pytest.mark.parametrize(
    ("control", "revision"), [({"stale": True}, 1), ({"hosts_lag_s": 60}, 1)]
)
async def test_platform_serves_old_values_when_configured(
    fleet: Fleet, control: dict[str, object], revision: int
) -> None:
    await fleet.start_platform()
    await fleet.publish("hosts", 1, {})
    await fleet.control("platform", **control)
    await fleet.publish("hosts", 2, {})

    assert (await read(fleet)).json()["revision"] == revision

    await fleet.control("platform", stale=False, hosts_lag_s=0)
    assert (await read(fleet)).json()["revision"] == 2


async def test_platform_refuses_reads_when_down_and_large_values(fleet: Fleet) -> None:
    platform = await fleet.start_platform()
    await fleet.publish("hosts", 1, {})
    large = await fleet.client.put(
        f"{platform.url}/control/values/hosts",
        json={"revision": 2, "value": "x" * 1_000_001},
    )
    await fleet.control("platform", down=True)

    assert large.status_code == 413
    assert (await read(fleet)).status_code == 503
    assert (await read(fleet, "?after=1&wait_s=9")).status_code == 503
