"""
Targets that state the request rate that they accept from all hosts together.

The hosts must keep the rate together, whatever their number, and use it up where no
other target has room.
"""

from __future__ import annotations

import pytest

from standins.limited_target import LimitedTarget, ask_steadily
from standins.site import Site, answer_text, make_route
from tests.gateway.test_coordination import find_coordinator, start_nodes
from tests.gateway.test_fleet import wait_until_live

pytestmark = pytest.mark.xfail(reason="KNOWN-RED.txt: issue 32", strict=True)
# Length of a run: a window of the rule, and the time until all hosts know the limit.
RUN_S = 6.0


@pytest.mark.parametrize(("hosts", "rate"), [(6, 1.0), (3, 4.0), (3, 0.4), (1, 2.0)])
async def test_lone_limited_target_gets_no_more_than_its_rate_from_all_hosts(
    site: Site, hosts: int, rate: float
) -> None:
    limited = LimitedTarget(rate)
    await site.add_target("books", limited.answer)
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, hosts)
    load = await ask_steadily(site, nodes, 30.0, RUN_S)
    assert set(load.told_at) == {node.settings.host for node in nodes}
    assert not limited.find_excess(load.told_at)
    assert set(load.count_statuses()) <= {200, 503}


async def test_limited_targets_get_no_more_than_their_rate_beside_an_open_one(
    site: Site,
) -> None:
    limited = [LimitedTarget(1.0), LimitedTarget(1.2)]
    for each in limited:
        await site.add_target("books", each.answer)
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, 6)
    load = await ask_steadily(site, nodes, 30.0, RUN_S)
    for each in limited:
        assert not each.find_excess(load.told_at)
    assert set(load.count_statuses()) == {200}


async def test_limited_target_of_another_region_gets_no_more_than_its_rate(
    site: Site,
) -> None:
    limited = LimitedTarget(1.0)
    await site.add_target("books", limited.answer, "west-a")
    site.configure(make_route("books", "unsafe"))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(3)]
    nodes += [await site.start_gateway(f"west-{n}", "west-a") for n in range(3)]
    await wait_until_live(*nodes)
    load = await ask_steadily(site, nodes, 30.0, RUN_S)
    assert not limited.find_excess(load.told_at)


async def test_changing_limit_is_kept(site: Site) -> None:
    limited = LimitedTarget(4.0)
    await site.add_target("books", limited.answer)
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, 4)
    load = await ask_steadily(site, nodes, 20.0, 2.0)
    for rate, seconds in ((1.0, 6.0), (6.0, 2.0), (None, 2.0), (1.0, 6.0)):
        limited.set_rate(rate)
        await ask_steadily(site, nodes, 20.0, seconds, load=load)
    assert not limited.find_excess(load.told_at)


async def test_started_and_lost_hosts_keep_the_limit(site: Site) -> None:
    limited = LimitedTarget(1.0)
    target = await site.add_target("books", limited.answer)
    site.configure(make_route("books", "unsafe"))
    nodes = await start_nodes(site, 3)
    load = await ask_steadily(site, nodes, 20.0, 2.0)
    joined = await site.start_gateway("joined")
    await ask_steadily(site, [*nodes, joined], 20.0, 3.0, load=load)
    lost = find_coordinator([*nodes, joined], target.id)
    # The host stays up but no longer answers its peers.
    lost.peers._socket = None
    rest = [node for node in (*nodes, joined) if node is not lost]
    await ask_steadily(site, rest, 20.0, RUN_S, load=load)
    assert not limited.find_excess(load.told_at)
