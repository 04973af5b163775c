"""Requests that are answered while another place is looked for beside a silent attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.core.reasons import Absent, Reason
from lycheepath.core.serving.attempts import AttemptCounts
from lycheepath.gateway.node import GatewayNode
from standins.pausing_target import (
    HEADERS,
    RESUMABLE,
    SAFE,
    add_pausing_target,
    configure_routes,
    is_complete,
)
from standins.site import send_request, write_request

if TYPE_CHECKING:
    from lycheepath.core.placement.model import Placement, PlacementContext
    from lycheepath.gateway.exchange import Exchange
    from standins.site import Site

SILENT_S = 2.0


@pytest.mark.parametrize("finds_place", [False, True])
@pytest.mark.parametrize("prefix", [SAFE, RESUMABLE])
async def test_request_is_over_once_it_was_answered_while_a_place_was_looked_for(
    site: Site, monkeypatch: pytest.MonkeyPatch, prefix: str, finds_place: bool
) -> None:
    targets = [await add_pausing_target(site) for _ in range(2)]
    configure_routes(site)
    node = await site.start_gateway("host-1")
    place = GatewayNode.place
    sends = 0

    def count_send(self: AttemptCounts) -> None:
        nonlocal sends
        sends += 1
        self.in_flight += 1

    async def place_slowly(
        self: GatewayNode, exchange: Exchange, context: PlacementContext
    ) -> Placement | Absent:
        placed = await place(self, exchange, context)
        if not exchange.attempts.started:
            return placed
        while exchange.attempts.in_flight:
            await trio.sleep(0.01)
        return placed if finds_place else Absent(Reason.NO_TARGET, 1.0, "none")

    monkeypatch.setattr(GatewayNode, "place", place_slowly)
    monkeypatch.setattr(AttemptCounts, "start", count_send)
    callers = node.settings.callers
    async with trio.open_nursery() as pausing:
        for target in targets:
            pausing.start_soon(target.pause, SILENT_S)
        async with await trio.open_tcp_stream(callers.ip, callers.port) as stream:
            for request_id in ("r1", "r2"):
                request = write_request(
                    b"POST", f"{prefix}1", b"x", request_id, HEADERS
                )
                assert is_complete(await send_request(stream, request))
                await trio.sleep(0.1)
    assert sends == 2
