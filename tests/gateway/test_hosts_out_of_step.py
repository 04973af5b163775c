"""
A host that is cut off from its peers, the store and their copies during a release.

It doesn't know the targets of a new version, nor the streams that began on them at other
hosts. Its links to callers and targets are sound.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from lycheepath.gateway import stream_versions
from lycheepath.gateway.calls import CallFailedError
from standins.site import Site, make_route
from standins.stream_service import StreamService
from standins.stream_takeups import TakeUps
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheepath.gateway.node import GatewayNode

WINDOW_S = 1.0
HOSTS = 3
# Time for which streams are followed after the host is in touch again.
BACK_S = 3.0


class Isolation:
    """Cuts one host off from the other hosts and from the store."""

    def __init__(self, cut_off: GatewayNode, others: Sequence[GatewayNode]) -> None:
        self.active = False
        self._ip = cut_off.settings.ip
        for node in (cut_off, *others):
            self._wrap(node, node is cut_off)

    def _wrap(self, node: GatewayNode, cut_off: bool) -> None:
        send, fetch = node.peers._send, node.store._fetch
        copy = node.store._copy_from_peer

        async def send_unless_cut(data: bytes, ip: str) -> None:
            if not (self.active and (cut_off or ip == self._ip)):
                await send(data, ip)

        async def fetch_unless_cut(path: str) -> tuple[bytes, int]:
            if self.active and cut_off:
                await trio.sleep(0.05)
                raise CallFailedError("cut off")
            answer = await fetch(path)
            if self.active and cut_off:
                raise CallFailedError("cut off")
            return answer

        async def copy_unless_cut(*arguments: Any) -> None:
            if not (self.active and cut_off):
                await copy(*arguments)

        node.peers._send = send_unless_cut  # type: ignore[method-assign]
        node.store._fetch = fetch_unless_cut  # type: ignore[method-assign]
        node.store._copy_from_peer = copy_unless_cut  # type: ignore


async def start(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> tuple[StreamService, list[GatewayNode]]:
    """Start hosts that have run for longer than the window of a stream."""
    monkeypatch.setattr(stream_versions, "MIN_WINDOW_S", WINDOW_S)
    service = StreamService(site, "books", events=20, event_s=0.03, cut_share=0.9)
    for _ in range(2):
        await service.add_target()
    route = make_route(
        "books", "streaming", resumable=True, timeout_ms=1500, target_latency_ms=800
    )
    site.configure(route)
    nodes = [await site.start_gateway(f"host-{n}") for n in range(HOSTS)]
    await wait_until_live(*nodes)
    await trio.sleep(2.0 + WINDOW_S)
    return service, nodes


@pytest.mark.parametrize("cut_s", [0.7, 1.5, 3.0])
async def test_host_out_of_step_joins_no_streams_of_two_versions(
    site: Site, monkeypatch: pytest.MonkeyPatch, cut_s: float
) -> None:
    service, nodes = await start(site, monkeypatch)
    isolation = Isolation(nodes[0], nodes[1:])
    takers = TakeUps(site, nodes, random.Random(1))

    async def release_during_cut() -> None:
        await trio.sleep(0.5)
        isolation.active = True
        for _ in range(6):
            await service.add_target(version="v2")
        await trio.sleep(cut_s)
        isolation.active = False

    async with trio.open_nursery() as nursery:
        nursery.start_soon(release_during_cut)
        await takers.follow_streams(per_second=40.0, seconds=1.0 + cut_s + 0.5)
    assert takers.count_joined() == 0
    assert any("v2" in stream.versions for stream in takers.streams)
    # The host goes on with streams as soon as it is in touch again.
    later = TakeUps(site, nodes[:1], random.Random(2))
    await later.follow_streams(per_second=20.0, seconds=BACK_S)
    assert later.count_joined() == 0
    assert later.find_share_gone_on() >= 0.9


async def test_take_ups_of_one_version_go_on_while_the_store_is_away(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, nodes = await start(site, monkeypatch)
    takers = TakeUps(site, nodes, random.Random(1))
    site.store.failing = 503
    await trio.sleep(3.0)
    await takers.follow_streams(per_second=20.0, seconds=BACK_S)
    assert takers.find_share_gone_on() >= 0.9


async def test_take_ups_of_one_version_go_on_at_a_host_without_peers(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, nodes = await start(site, monkeypatch)
    for node in nodes[1:]:
        site.stop_gateway(node)
    await trio.sleep(1.0)
    takers = TakeUps(site, nodes[:1], random.Random(1))
    await takers.follow_streams(per_second=20.0, seconds=BACK_S)
    assert takers.find_share_gone_on() >= 0.9
