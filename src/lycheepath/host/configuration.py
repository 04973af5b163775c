"""
Brings published values in force on this host and keeps them for peers.

A few computed hosts of each availability zone watch the platform. All others
learn of a new revision from peers, fetch its content from one that has it,
and read the platform only rarely. A fresh process asks peers first.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio
from loguru import logger

from ..adapters.peer_requests import PeerUnreachable
from ..adapters.platform import (
    PlatformReader,
    PublishedValue,
    ReadFailure,
    Unchanged,
)
from ..core.clients import Directory
from ..core.configuration.outcomes import Accepted, Conflict, Offer, Rejected
from ..core.configuration.start_check import StartCheck
from ..core.configuration.values import HostList, name_environment
from ..core.environment.model import Environment
from ..core.gossip.values import DIGEST_BYTES, ValueDigest

if TYPE_CHECKING:
    from ..core.configuration.outcomes import Held, Outcome
    from ..core.environment.model import Host
    from .node import Node

FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0
LONGEST_FALLBACK_S = 60.0
SHORTEST_FALLBACK_S = 1.0
FALLBACK_READS_PER_S = 40.0
ROLE_CHECK_S = 1.0
START_SPREAD_S = 1.2
SEEDS_ASKED = 4
PEERS_ASKED = 6
START_CHECK_S = 0.1


def offer_value(node: Node, name: str, offer: Offer) -> Outcome:
    """Consider a value from any source, and put it in force if it is to be."""
    outcome = node.configuration.offer(name, offer, time.time())
    if isinstance(outcome, Accepted):
        _put_in_force(node, name, outcome.held)
    elif isinstance(outcome, Conflict):
        node.metrics.count("configuration_conflicts_total", value=name)
        logger.error("{}: revision {} has two contents", name, offer.revision)
    elif isinstance(outcome, Rejected):
        node.metrics.count("configuration_rejected_total", value=name)
    return outcome


async def bootstrap(node: Node) -> None:
    """
    Get a first configuration, from peers or the platform, and check its age.

    The node serves from the end of this call on.
    """
    await _ask_seeds(node)
    await _await_environment(node)
    await _check_with_peers(node)
    node.checked = True
    environment = node.environment
    assert environment is not None
    node.record("start", "peers", "", f"revision {environment.revision}")


async def follow_platform(node: Node) -> None:
    """Read and watch every value that this host needs, for ever."""
    reader = PlatformReader(node.settings.platform.url, node.may_reach)
    async with trio.open_nursery() as nursery:
        for name in node.value_names:
            nursery.start_soon(_follow_value, node, reader, name)


async def fetch_value(node: Node, name: str, address: str, source: str) -> None:
    """Fetch a value's content from a peer and consider it."""
    if name in node.fetching:
        return
    node.fetching.add(name)
    try:
        answer = await node.peers.query(address, f"/peer/values/{name}")
    finally:
        node.fetching.discard(name)
    if isinstance(answer, PeerUnreachable):
        node.metrics.count("peer_fetches_failed_total")
        return
    text = str(answer["text"]).encode()
    offer = Offer(int(answer["revision"]), str(answer["digest"]), text, source)
    offer_value(node, name, offer)


def _put_in_force(node: Node, name: str, held: Held) -> None:
    content = held.content
    if isinstance(content, Environment):
        node.adopt_environment(content)
    elif isinstance(content, Directory):
        node.adopt_directory(content)
    elif isinstance(content, HostList):
        node.adopt_host_list(content)
    digest = bytes.fromhex(held.digest)[:DIGEST_BYTES]
    node.announce_value(ValueDigest(name, held.revision, digest))


async def _follow_value(node: Node, reader: PlatformReader, name: str) -> None:
    retry_s = FIRST_RETRY_S
    await _wait_for_turn(node, name)
    while True:
        answer = await _read_or_watch(node, reader, name)
        if isinstance(answer, PublishedValue):
            retry_s = FIRST_RETRY_S
            node.watched[name] = answer.revision
            offer = Offer(answer.revision, "", answer.body, "platform")
            outcome = offer_value(node, name, offer)
            if not isinstance(outcome, Accepted):
                await trio.sleep(FIRST_RETRY_S)
        elif isinstance(answer, ReadFailure):
            node.metrics.count("platform_failures_total", value=name)
            await trio.sleep(retry_s * (0.5 + node.random.random()))
            retry_s = min(retry_s * 2, LONGEST_RETRY_S)
        await _wait_for_turn(node, name)


async def _read_or_watch(
    node: Node, reader: PlatformReader, name: str
) -> PublishedValue | Unchanged | ReadFailure:
    held = node.configuration.get(name)
    if held is None or not node.is_reader():
        return await reader.read(name)
    return await reader.watch(name, node.watched.get(name, held.revision))


async def _wait_for_turn(node: Node, name: str) -> None:
    """Return at once at a reader; elsewhere when a value is missing or old."""
    if node.configuration.get(name) is None:
        if node.settings.seeds:
            await trio.sleep(START_SPREAD_S * node.random.random())
        return
    wait_until = node.now() + _find_fallback_s(node) * (0.5 + node.random.random())
    while not node.is_reader() and node.now() < wait_until:
        await trio.sleep(ROLE_CHECK_S)


def _find_fallback_s(node: Node) -> float:
    """
    Return how long a host that is no reader leaves the platform alone.

    The readers of its zone may be cut off from the platform while it is not.
    All hosts together read each value ``FALLBACK_READS_PER_S`` times a second.
    """
    hosts = 1 if node.environment is None else len(node.environment.hosts)
    wait_s = max(SHORTEST_FALLBACK_S, hosts / FALLBACK_READS_PER_S)
    return min(wait_s, LONGEST_FALLBACK_S)


async def _ask_seeds(node: Node) -> None:
    seeds = list(node.settings.seeds)
    chosen = node.random.sample(seeds, min(SEEDS_ASKED, len(seeds)))
    async with trio.open_nursery() as nursery:
        for address in chosen:
            nursery.start_soon(_ask_seed, node, address)


async def _ask_seed(node: Node, address: str) -> None:
    for name in node.value_names:
        answer = await node.peers.query(address, f"/peer/values/{name}")
        if isinstance(answer, PeerUnreachable):
            return
        text = str(answer["text"]).encode()
        offer = Offer(
            int(answer["revision"]), str(answer["digest"]), text, f"seed {address}"
        )
        offer_value(node, name, offer)


async def _await_environment(node: Node) -> None:
    while node.environment is None:
        await trio.sleep(START_CHECK_S)
        if node.environment is None and node.random.random() < START_CHECK_S:
            await _ask_seeds(node)


async def _check_with_peers(node: Node) -> None:
    environment = node.environment
    assert environment is not None
    others = [host for host in environment.hosts if host.id != node.settings.host]
    near = [h for h in others if node.region_of(h) == node.settings.region]
    pool = near if len(near) >= PEERS_ASKED else others
    asked = node.random.sample(pool, min(PEERS_ASKED, len(pool)))
    check = StartCheck(node.now(), frozenset(host.id for host in asked))
    async with trio.open_nursery() as nursery:
        for host in asked:
            nursery.start_soon(_ask_revision, node, host, check)
        while not check.is_settled(_revision(node), node.now()):
            await trio.sleep(START_CHECK_S)
        nursery.cancel_scope.cancel()


async def _ask_revision(node: Node, host: Host, check: StartCheck) -> None:
    name = name_environment(node.settings.platform.environment)
    while True:
        answer = await node.peers.query(host.callers_address, "/peer/state")
        if not isinstance(answer, PeerUnreachable):
            revision = max(0, int(answer["revision"]))
            check.note_answer(host.id, revision)
            if revision > _revision(node):
                await fetch_value(node, name, host.callers_address, f"peer {host.id}")
        await trio.sleep(START_CHECK_S)


def _revision(node: Node) -> int:
    return 0 if node.environment is None else node.environment.revision
