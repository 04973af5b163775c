"""Peers whose heartbeats arrive, while no connection to them can be used."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any

import pytest
import trio

from lycheepath.adapters.http1.sockets import ConnectError
from standins.site import answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheepath.core.addresses import Address
    from lycheepath.gateway.node import GatewayNode
    from standins.site import FakeTarget, Site

# Time within which a change of the store is in force at a host.
IN_FORCE_S = 4.0
# Interval between changes of the store that concern other targets.
CHANGE_INTERVAL_S = 0.3
LEAVING_TARGETS = 8
LEAVING_INTERVAL_S = 1.5


def cut_connections(
    node: GatewayNode, peers: Sequence[GatewayNode], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Have the connections of a host to some peers hang; heartbeats still arrive."""
    acquire = node.pool.acquire
    ips = {peer.settings.ip for peer in peers}

    async def acquire_unless_cut(
        address: Address, timeout_s: float, *arguments: Any
    ) -> Any:
        if address.ip in ips:
            await trio.sleep(timeout_s)
            raise ConnectError(f"no connection within {timeout_s:.3f} s")
        return await acquire(address, timeout_s, *arguments)

    monkeypatch.setattr(node.pool, "acquire", acquire_unless_cut)


@pytest.mark.parametrize("others", [1, 3])
async def test_leaving_targets_are_known_in_time_beside_unreachable_peers(
    site: Site, monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    targets = [
        await site.add_target("books", answer_text(b"done"))
        for _ in range(LEAVING_TARGETS)
    ]
    busy = await site.add_target("films", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("east-0")
    peers = [await site.start_gateway(f"east-{n}") for n in range(1, others + 1)]
    await wait_until_live(node, *peers)
    cut_connections(node, peers, monkeypatch)
    known_after_s = dict.fromkeys((target.id for target in targets), float("inf"))

    async def change_others() -> None:
        for slots in count(8):
            site.announce(busy, slots=slots)
            await trio.sleep(CHANGE_INTERVAL_S)

    async def leave(target: FakeTarget) -> None:
        site.announce(target, state="draining")
        left_at = trio.current_time()
        with trio.move_on_after(2.0 * IN_FORCE_S):
            while not node.catalog.targets[target.id].draining:
                await trio.sleep(0.02)
            known_after_s[target.id] = trio.current_time() - left_at

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_others)
        async with trio.open_nursery() as leaving:
            for target in targets:
                leaving.start_soon(leave, target)
                await trio.sleep(LEAVING_INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert max(known_after_s.values()) < IN_FORCE_S, known_after_s
