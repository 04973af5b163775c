"""
Attempts at sound targets that are silent for a moment, with and without another place.

What is only silent isn't ended before something goes on in its place.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
import trio

from standins.pausing_target import (
    RESUMABLE,
    SAFE,
    PausingTarget,
    ask_steadily,
    configure_routes,
    is_complete,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheepath.gateway.node import GatewayNode
    from standins.site import Answer, Site

KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 46")
PAUSES = 4
# Time between two pauses, in which targets work.
BETWEEN_S = 0.8


async def pause_in_turn(groups: Sequence[Sequence[PausingTarget]]) -> None:
    """Pause the targets of each group together, one group after the other."""
    for group in groups:
        await trio.sleep(BETWEEN_S)
        async with trio.open_nursery() as pausing:
            for target in group:
                pausing.start_soon(target.pause)
    await trio.sleep(BETWEEN_S)


async def ask_beside_pauses(
    site: Site,
    node: GatewayNode,
    prefix: str,
    groups: Sequence[Sequence[PausingTarget]],
) -> dict[str, Answer]:
    """Send requests while the targets of each group are paused in turn."""
    ended = trio.Event()
    answers: dict[str, Answer] = {}

    async def ask() -> None:
        answers.update(await ask_steadily(site, [node], (prefix,), ended))

    async with trio.open_nursery() as asking:
        asking.start_soon(ask)
        await pause_in_turn(groups)
        ended.set()
    assert len(answers) > 200
    return answers


def find_broken_off(answers: dict[str, Answer]) -> list[str]:
    """Return the requests whose answers began and weren't completed."""
    return [
        request_id
        for request_id, answer in answers.items()
        if answer.status == 200 and not is_complete(answer)
    ]


def count_statuses(answers: dict[str, Answer]) -> Counter[int]:
    return Counter(answer.status for answer in answers.values())


async def add_targets(
    site: Site, zone: str, versions: Sequence[str]
) -> list[PausingTarget]:
    targets = []
    for version in versions:
        target = PausingTarget()
        await site.add_target(
            "books", target.behave, zone=zone, slots=64, version=version
        )
        targets.append(target)
    return targets


@KNOWN_RED
@pytest.mark.parametrize("count", [4, 1])
@pytest.mark.parametrize("prefix", [RESUMABLE, SAFE])
async def test_requests_are_answered_when_all_targets_were_silent_together(
    site: Site, prefix: str, count: int
) -> None:
    targets = await add_targets(site, "east-a", ["v1"] * count)
    configure_routes(site)
    node = await site.start_gateway("host-1")
    answers = await ask_beside_pauses(site, node, prefix, [targets] * PAUSES)
    assert not find_broken_off(answers)
    assert count_statuses(answers)[502] == 0


@KNOWN_RED
async def test_stream_is_not_broken_off_when_no_other_target_has_its_version(
    site: Site,
) -> None:
    targets = await add_targets(site, "east-a", ["v1", "v2", "v3", "v4"])
    configure_routes(site)
    node = await site.start_gateway("host-1")
    groups = [[target] for target in targets]
    answers = await ask_beside_pauses(site, node, RESUMABLE, groups)
    assert not find_broken_off(answers)


@KNOWN_RED
@pytest.mark.parametrize("together", [True, False])
async def test_relayed_stream_is_not_broken_off_when_its_target_was_silent(
    site: Site, together: bool
) -> None:
    targets = await add_targets(site, "west-a", ["v1"] * 4)
    configure_routes(site)
    node = await site.start_gateway("host-1")
    await site.start_gateway("host-2", "west-a")
    groups = [targets] * PAUSES if together else [[target] for target in targets]
    answers = await ask_beside_pauses(site, node, RESUMABLE, groups)
    assert not find_broken_off(answers)


async def test_silent_target_is_relieved_by_another_one(site: Site) -> None:
    targets = await add_targets(site, "east-a", ["v1"] * 4)
    configure_routes(site)
    node = await site.start_gateway("host-1")
    groups = [[target] for target in targets]
    for prefix in (RESUMABLE, SAFE):
        answers = await ask_beside_pauses(site, node, prefix, groups)
        assert all(is_complete(answer) for answer in answers.values())
