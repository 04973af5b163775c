"""
Keeps a request that crashes targets from taking more of them.

A suspect runs on trial only: the arbiters of its fingerprint and of its target,
two computed hosts of the region, lease the trial to one host at a time. What
hosts tell each other is a keyed fingerprint, never any part of the request.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
import trio

from ..adapters.peer_requests import PeerUnreachable
from ..core.gossip.news import pack_quarantine
from ..core.quarantine.arbiter import TRIAL_RETRY_S, Trial, arbiter_for
from ..core.quarantine.evidence import Conviction, Death, Report
from ..core.quarantine.fingerprints import EVERYWHERE, make_fingerprints
from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from ..core.chat import ChatRequest
    from ..core.environment.model import Target
    from ..core.quarantine.containment import Standing
    from ..core.quarantine.fingerprints import Fingerprint
    from .node import Node

DEATH_WINDOW_S = 10
DEATH_CHECK_TIMEOUT_S = 0.3
MAX_HOSTS_NOTIFIED = 64


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request's fingerprints and the region that its record must stay in."""

    fingerprints: tuple[Fingerprint, ...]
    scope: str

    @property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint that records are made under."""
        return self.fingerprints[0]


def identify_suspect(node: Node, chat: ChatRequest, bound: str | None) -> Suspect:
    """Return the fingerprints of a chat completion."""
    content = orjson.dumps(chat.messages, option=orjson.OPT_SORT_KEYS)
    scope = bound or EVERYWHERE
    keys = node.settings.peer_keys
    return Suspect(make_fingerprints(keys, scope, chat.model, content), scope)


async def request_trial(node: Node, suspect: Suspect, holder: str) -> Absent | None:
    """Return None if the request may run on trial now."""
    subject = suspect.fingerprint.hex()
    return await _request_lease(
        node, subject, {"fingerprint": subject, "holder": holder}
    )


async def request_target_lease(node: Node, target: str, holder: str) -> Absent | None:
    """Return None if the target runs no other trial."""
    return await _request_lease(node, target, {"target": target, "holder": holder})


async def release_lease(node: Node, subject: str, holder: str) -> None:
    """Give the lease of a fingerprint or target back."""
    await _send_to_arbiter(node, subject, {"end": subject, "holder": holder})


async def handle_broken_answer(node: Node, target: Target, request_id: str) -> None:
    """
    Decide whether a broken answer was the target's death, and report it.

    A target that still answers has not died: engines take far longer to start
    again than the moment after which it is asked.
    """
    answer = await node.engines.read_load(target.address, DEATH_CHECK_TIMEOUT_S)
    if answer is not None:
        node.containment.finish(request_id)
        return
    node.metrics.count("target_deaths_total", target=target.id)
    instance = str(int(time.time()) // DEATH_WINDOW_S)
    now = node.now()
    _, reports = node.containment.note_death(target.id, instance, now)
    for report in reports:
        await _distribute_report(node, report)


def answer_trial(node: Node, question: dict[str, Any]) -> dict[str, Any]:
    """Answer a host that asks this one as an arbiter."""
    now = node.now()
    holder = str(question["holder"])
    if "end" in question:
        node.arbiter.end_trial(str(question["end"]), holder)
        return {}
    if "target" in question:
        granted = node.arbiter.grant_target(str(question["target"]), holder, now)
        return _encode_grant(granted)
    fingerprint = bytes.fromhex(question["fingerprint"])
    return _encode_grant(node.arbiter.grant_trial(fingerprint, holder, now))


def take_report(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Take evidence from a peer, as an arbiter too; return a verdict."""
    report = _decode_report(value)
    node.containment.hear_suspicion(report, node.now())
    conviction = node.arbiter.report(report, node.now())
    return {"conviction": None if conviction is None else _encode_decision(conviction)}


def take_conviction(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Put a peer's verdict in force."""
    conviction = _decode_decision(value)
    _apply_decision(node, conviction, "peer")
    return {}


def apply_quarantine_update(node: Node, fingerprint: bytes, ttl_s: float) -> None:
    """Put a verdict in force that came as news, without its evidence."""
    deaths = frozenset({Death("news", fingerprint.hex())})
    _apply_decision(node, Conviction(fingerprint, EVERYWHERE, ttl_s, deaths), "news")


async def distribute_decision(node: Node, conviction: Conviction) -> None:
    """Put a verdict in force here and tell the hosts that may hear of it."""
    if not _apply_decision(node, conviction, "arbiter"):
        return
    if conviction.scope == EVERYWHERE:
        ttl_s = int(conviction.remaining_s)
        news = pack_quarantine(conviction.fingerprint, ttl_s, node.next_stamp())
        node.publish_update(news)
    await _send_to_hosts(node, "/peer/conviction", _encode_decision(conviction))


async def _distribute_report(node: Node, report: Report) -> None:
    subject = report.fingerprint.hex()
    node.arbiter.report(report, node.now())
    verdict = await _send_to_arbiter(
        node, subject, _encode_report(report), "/peer/suspicion"
    )
    conviction = _read_decision(verdict, node.containment.judge(report))
    if conviction is not None:
        await distribute_decision(node, conviction)
        return
    await _send_to_hosts(node, "/peer/suspicion", _encode_report(report))


def _read_decision(
    verdict: dict[str, Any] | None, own: Conviction | None
) -> Conviction | None:
    """Return the arbiter's verdict, or this host's own if no arbiter answered."""
    if verdict is None:
        return own
    conviction = verdict.get("conviction")
    return _decode_decision(conviction) if conviction else None


async def _request_lease(
    node: Node, subject: str, question: dict[str, Any]
) -> Absent | None:
    answer = await _send_to_arbiter(node, subject, question)
    if answer is None:
        return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S, "the arbiter is silent")
    if answer.get("granted"):
        return None
    if answer.get("conviction"):
        conviction = _decode_decision(answer["conviction"])
        await distribute_decision(node, conviction)
        return Absent(Reason.QUARANTINED, conviction.remaining_s)
    retry_after_s = float(answer.get("retry_after_s", TRIAL_RETRY_S))
    return Absent(Reason.IN_PROGRESS, retry_after_s, "another trial runs")


async def _send_to_arbiter(
    node: Node, subject: str, message: dict[str, Any], path: str = "/peer/trial"
) -> dict[str, Any] | None:
    arbiter = arbiter_for(node.live_local_hosts(), subject)
    if isinstance(arbiter, Absent):
        return None
    if arbiter == node.settings.host:
        return (answer_trial if path == "/peer/trial" else take_report)(node, message)
    address = node.host_addresses.get(arbiter, "")
    answer = await node.peers.ask(address, path, message)
    return None if isinstance(answer, PeerUnreachable) else answer


async def _send_to_hosts(node: Node, path: str, message: dict[str, Any]) -> None:
    others = [host for host in node.live_local_hosts() if host != node.settings.host]
    async with trio.open_nursery() as nursery:
        for host in others[:MAX_HOSTS_NOTIFIED]:
            address = node.host_addresses[host]
            nursery.start_soon(node.peers.ask, address, path, message)


def _apply_decision(node: Node, conviction: Conviction, source: str) -> bool:
    if not node.containment.apply_conviction(conviction, node.now()):
        return False
    node.arbiter.explain(conviction.deaths, node.now())
    name = conviction.fingerprint.hex()
    node.record_change(
        "quarantine", source, "", f"{name} {conviction.remaining_s:.0f} s"
    )
    return True


def _encode_grant(granted: Trial | Conviction | Absent) -> dict[str, Any]:
    if isinstance(granted, Trial):
        return {"granted": True}
    if isinstance(granted, Conviction):
        return {"conviction": _encode_decision(granted)}
    return {"retry_after_s": granted.retry_after_s}


def _encode_decision(conviction: Conviction) -> dict[str, Any]:
    return {
        "fingerprint": conviction.fingerprint.hex(),
        "scope": conviction.scope,
        "remaining_s": conviction.remaining_s,
        "deaths": _encode_deaths(conviction.deaths),
    }


def _decode_decision(value: dict[str, Any]) -> Conviction:
    return Conviction(
        bytes.fromhex(value["fingerprint"]),
        str(value["scope"]),
        float(value["remaining_s"]),
        _decode_deaths(value["deaths"]),
    )


def _encode_report(report: Report) -> dict[str, Any]:
    return {
        "fingerprint": report.fingerprint.hex(),
        "scope": report.scope,
        "deaths": _encode_deaths(report.deaths),
        "alone": report.alone,
        "tokens": report.tokens,
    }


def _decode_report(value: dict[str, Any]) -> Report:
    return Report(
        bytes.fromhex(value["fingerprint"]),
        str(value["scope"]),
        _decode_deaths(value["deaths"]),
        bool(value["alone"]),
        int(value["tokens"]),
    )


def _encode_deaths(deaths: frozenset[Death]) -> list[list[Any]]:
    return [[death.target, death.instance, death.mass] for death in deaths]


def _decode_deaths(values: list[list[Any]]) -> frozenset[Death]:
    return frozenset(
        Death(str(target), str(instance), bool(mass))
        for target, instance, mass in values
    )


def check_admission(node: Node, suspect: Suspect) -> Standing | Absent:
    """Return how a request may be sent, or the rest of its sentence."""
    return node.containment.admit(suspect.fingerprints, node.now())
