"""
Applies published values on this host and serves them to peers.

In each availability zone a few hosts, chosen by hashing, watch the platform.
All others receive new revisions as updates from peers, fetch the content from a
peer that has it, and read the platform only rarely. A new process queries its
seeds first.
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
from ..core.configuration.values import HostList, environment_value_name
from ..core.environment.model import Environment
from ..core.gossip.values import DIGEST_BYTES, ValueDigest

if TYPE_CHECKING:
    from ..core.configuration.outcomes import HeldValue, Outcome
    from ..core.environment.model import Host
    from .node import Node

INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0
MAX_FALLBACK_INTERVAL_S = 60.0
MIN_FALLBACK_INTERVAL_S = 1.0
FALLBACK_READS_PER_S = 40.0
ROLE_CHECK_INTERVAL_S = 1.0
START_JITTER_S = 1.2
SEEDS_QUERIED = 4
PEERS_QUERIED = 6
START_CHECK_INTERVAL_S = 0.1


def offer_value(node: Node, name: str, offer: Offer) -> Outcome:
    """Offer a value from any source to the store, and apply it if accepted."""
    outcome = node.configuration.offer(name, offer, time.time())
    if isinstance(outcome, Accepted):
        _apply_value(node, name, outcome.held)
    elif isinstance(outcome, Conflict):
        node.metrics.count("configuration_conflicts_total", value=name)
        logger.error("{}: revision {} has two contents", name, offer.revision)
    elif isinstance(outcome, Rejected):
        node.metrics.count("configuration_rejected_total", value=name)
    return outcome


async def bootstrap(node: Node) -> None:
    """
    Get a first configuration and check with peers that it is not outdated.

    The configuration comes from peers or the platform. The node serves once
    this call has returned.
    """
    await _query_seeds(node)
    await _await_environment(node)
    await _check_with_peers(node)
    node.configuration_checked = True
    environment = node.environment
    assert environment is not None
    node.record_change("start", "peers", "", f"revision {environment.revision}")


async def follow_platform(node: Node) -> None:
    """Read and watch all values that this host needs, until cancelled."""
    reader = PlatformReader(node.settings.platform.url, node.may_reach)
    async with trio.open_nursery() as nursery:
        for name in node.value_names:
            nursery.start_soon(_follow_value, node, reader, name)


async def fetch_value(node: Node, name: str, address: str, source: str) -> None:
    """Fetch a value's content from a peer and offer it to the store."""
    if name in node.fetches_in_progress:
        return
    node.fetches_in_progress.add(name)
    try:
        answer = await node.peers.query(address, f"/peer/values/{name}")
    finally:
        node.fetches_in_progress.discard(name)
    if isinstance(answer, PeerUnreachable):
        node.metrics.count("peer_fetches_failed_total")
        return
    text = str(answer["text"]).encode()
    offer = Offer(int(answer["revision"]), str(answer["digest"]), text, source)
    offer_value(node, name, offer)


def _apply_value(node: Node, name: str, held: HeldValue) -> None:
    content = held.content
    if isinstance(content, Environment):
        node.apply_environment(content)
    elif isinstance(content, Directory):
        node.apply_directory(content)
    elif isinstance(content, HostList):
        node.apply_host_list(content)
    digest = bytes.fromhex(held.digest)[:DIGEST_BYTES]
    node.announce_value(ValueDigest(name, held.revision, digest))


async def _follow_value(node: Node, reader: PlatformReader, name: str) -> None:
    retry_s = INITIAL_RETRY_DELAY_S
    await _wait_for_next_read(node, name)
    while True:
        answer = await _read_or_watch(node, reader, name)
        if isinstance(answer, PublishedValue):
            retry_s = INITIAL_RETRY_DELAY_S
            node.watched_revisions[name] = answer.revision
            offer = Offer(answer.revision, "", answer.body, "platform")
            outcome = offer_value(node, name, offer)
            if not isinstance(outcome, Accepted):
                await trio.sleep(INITIAL_RETRY_DELAY_S)
        elif isinstance(answer, ReadFailure):
            node.metrics.count("platform_failures_total", value=name)
            await trio.sleep(retry_s * (0.5 + node.random.random()))
            retry_s = min(retry_s * 2, MAX_RETRY_DELAY_S)
        await _wait_for_next_read(node, name)


async def _read_or_watch(
    node: Node, reader: PlatformReader, name: str
) -> PublishedValue | Unchanged | ReadFailure:
    held = node.configuration.get(name)
    if held is None or not node.is_platform_reader():
        return await reader.read(name)
    return await reader.watch(name, node.watched_revisions.get(name, held.revision))


async def _wait_for_next_read(node: Node, name: str) -> None:
    """Wait until the next read; returns at once on a host that reads the platform."""
    if node.configuration.get(name) is None:
        if node.settings.seeds:
            await trio.sleep(START_JITTER_S * node.random.random())
        return
    wait_until = node.now() + _compute_fallback_interval_s(node) * (
        0.5 + node.random.random()
    )
    while not node.is_platform_reader() and node.now() < wait_until:
        await trio.sleep(ROLE_CHECK_INTERVAL_S)


def _compute_fallback_interval_s(node: Node) -> float:
    """
    Return the interval of platform reads on a host that is not a reader.

    Such a host still reads occasionally, because the readers of its zone may
    have lost their connection to the platform. All hosts together read each
    value about ``FALLBACK_READS_PER_S`` times a second.
    """
    hosts = 1 if node.environment is None else len(node.environment.hosts)
    wait_s = max(MIN_FALLBACK_INTERVAL_S, hosts / FALLBACK_READS_PER_S)
    return min(wait_s, MAX_FALLBACK_INTERVAL_S)


async def _query_seeds(node: Node) -> None:
    seeds = list(node.settings.seeds)
    chosen = node.random.sample(seeds, min(SEEDS_QUERIED, len(seeds)))
    async with trio.open_nursery() as nursery:
        for address in chosen:
            nursery.start_soon(_query_seed, node, address)


async def _query_seed(node: Node, address: str) -> None:
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
        await trio.sleep(START_CHECK_INTERVAL_S)
        if node.environment is None and node.random.random() < START_CHECK_INTERVAL_S:
            await _query_seeds(node)


async def _check_with_peers(node: Node) -> None:
    environment = node.environment
    assert environment is not None
    others = [host for host in environment.hosts if host.id != node.settings.host]
    local_hosts = [h for h in others if node.region_of(h) == node.settings.region]
    candidates = local_hosts if len(local_hosts) >= PEERS_QUERIED else others
    queried = node.random.sample(candidates, min(PEERS_QUERIED, len(candidates)))
    check = StartCheck(node.now(), frozenset(host.id for host in queried))
    async with trio.open_nursery() as nursery:
        for host in queried:
            nursery.start_soon(_query_revision, node, host, check)
        while not check.may_serve(_get_current_revision(node), node.now()):
            await trio.sleep(START_CHECK_INTERVAL_S)
        nursery.cancel_scope.cancel()


async def _query_revision(node: Node, host: Host, check: StartCheck) -> None:
    name = environment_value_name(node.settings.platform.environment)
    while True:
        answer = await node.peers.query(host.callers_address, "/peer/state")
        if not isinstance(answer, PeerUnreachable):
            revision = max(0, int(answer["revision"]))
            check.record_answer(host.id, revision)
            if revision > _get_current_revision(node):
                await fetch_value(node, name, host.callers_address, f"peer {host.id}")
        await trio.sleep(START_CHECK_INTERVAL_S)


def _get_current_revision(node: Node) -> int:
    return 0 if node.environment is None else node.environment.revision
