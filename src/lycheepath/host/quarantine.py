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
from ..core.gossip.updates import pack_quarantine
from ..core.quarantine.arbiter import TRIAL_RETRY_S, TrialLease, find_arbiter
from ..core.quarantine.evidence import CrashReport, QuarantineDecision, TargetDeath
from ..core.quarantine.fingerprints import UNBOUND_SCOPE, make_fingerprints
from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from ..core.chat import ChatRequest
    from ..core.environment.model import Target
    from ..core.quarantine.containment import QuarantineStatus
    from ..core.quarantine.fingerprints import Fingerprint
    from .node import Node

DEATH_WINDOW_S = 10
DEATH_CHECK_S = 0.3
MOST_TOLD = 64


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request's fingerprints and the region that its record must stay in."""

    fingerprints: tuple[Fingerprint, ...]
    scope: str

    @property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint that records are made under."""
        return self.fingerprints[0]


def identify(node: Node, chat: ChatRequest, bound: str | None) -> Suspect:
    """Return the fingerprints of a chat completion."""
    content = orjson.dumps(chat.messages, option=orjson.OPT_SORT_KEYS)
    scope = bound or UNBOUND_SCOPE
    keys = node.settings.peer_keys
    return Suspect(make_fingerprints(keys, scope, chat.model, content), scope)


async def ask_for_trial(node: Node, suspect: Suspect, holder: str) -> Absent | None:
    """Return None if the request may run on trial now."""
    subject = suspect.fingerprint.hex()
    return await _ask(node, subject, {"fingerprint": subject, "holder": holder})


async def ask_for_target(node: Node, target: str, holder: str) -> Absent | None:
    """Return None if the target runs no other trial."""
    return await _ask(node, target, {"target": target, "holder": holder})


async def end_trial(node: Node, subject: str, holder: str) -> None:
    """Give the lease of a fingerprint or target back."""
    await _tell_arbiter(node, subject, {"end": subject, "holder": holder})


async def note_break(node: Node, target: Target, request_id: str) -> None:
    """
    Decide whether a broken answer was the target's death, and report it.

    A target that still answers has not died: engines take far longer to start
    again than the moment after which it is asked.
    """
    answer = await node.engines.read_load(target.address, DEATH_CHECK_S)
    if answer is not None:
        node.containment.record_end(request_id)
        return
    node.metrics.count("target_deaths_total", target=target.id)
    instance = str(int(time.time()) // DEATH_WINDOW_S)
    now = node.now()
    _, reports = node.containment.record_target_death(target.id, instance, now)
    for report in reports:
        await _spread_report(node, report)


def answer_trial_request(node: Node, question: dict[str, Any]) -> dict[str, Any]:
    """Answer a host that asks this one as an arbiter."""
    now = node.now()
    holder = str(question["holder"])
    if "end" in question:
        node.arbiter.release_lease(str(question["end"]), holder)
        return {}
    if "target" in question:
        granted = node.arbiter.grant_target(str(question["target"]), holder, now)
        return _encode_grant(granted)
    fingerprint = bytes.fromhex(question["fingerprint"])
    return _encode_grant(node.arbiter.grant_trial(fingerprint, holder, now))


def apply_suspicion_report(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Take evidence from a peer, as an arbiter too; return a verdict."""
    report = _decode_report(value)
    node.containment.apply_report(report, node.now())
    conviction = node.arbiter.add_report(report, node.now())
    return {"conviction": None if conviction is None else _encode(conviction)}


def apply_quarantine_decision(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Put a peer's verdict in force."""
    conviction = _decode_conviction(value)
    _apply(node, conviction, "peer")
    return {}


def hear_conviction(node: Node, fingerprint: bytes, ttl_s: float) -> None:
    """Put a verdict in force that came as news, without its evidence."""
    deaths = frozenset({TargetDeath("news", fingerprint.hex())})
    _apply(node, QuarantineDecision(fingerprint, UNBOUND_SCOPE, ttl_s, deaths), "news")


async def spread_conviction(node: Node, conviction: QuarantineDecision) -> None:
    """Put a verdict in force here and tell the hosts that may hear of it."""
    if not _apply(node, conviction, "arbiter"):
        return
    if conviction.scope == UNBOUND_SCOPE:
        ttl_s = int(conviction.remaining_s)
        news = pack_quarantine(conviction.fingerprint, ttl_s, node.next_stamp())
        node.publish(news)
    await _tell_hosts(node, "/peer/conviction", _encode(conviction))


async def _spread_report(node: Node, report: CrashReport) -> None:
    subject = report.fingerprint.hex()
    node.arbiter.add_report(report, node.now())
    verdict = await _tell_arbiter(
        node, subject, _encode_report(report), "/peer/suspicion"
    )
    conviction = _read_verdict(verdict, node.containment.decide_locally(report))
    if conviction is not None:
        await spread_conviction(node, conviction)
        return
    await _tell_hosts(node, "/peer/suspicion", _encode_report(report))


def _read_verdict(
    verdict: dict[str, Any] | None, own: QuarantineDecision | None
) -> QuarantineDecision | None:
    """Return the arbiter's verdict, or this host's own if no arbiter answered."""
    if verdict is None:
        return own
    conviction = verdict.get("conviction")
    return _decode_conviction(conviction) if conviction else None


async def _ask(node: Node, subject: str, question: dict[str, Any]) -> Absent | None:
    answer = await _tell_arbiter(node, subject, question)
    if answer is None:
        return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S, "the arbiter is silent")
    if answer.get("granted"):
        return None
    if answer.get("conviction"):
        conviction = _decode_conviction(answer["conviction"])
        await spread_conviction(node, conviction)
        return Absent(Reason.QUARANTINED, conviction.remaining_s)
    retry_after_s = float(answer.get("retry_after_s", TRIAL_RETRY_S))
    return Absent(Reason.IN_PROGRESS, retry_after_s, "another trial runs")


async def _tell_arbiter(
    node: Node, subject: str, message: dict[str, Any], path: str = "/peer/trial"
) -> dict[str, Any] | None:
    arbiter = find_arbiter(node.live_hosts_here(), subject)
    if isinstance(arbiter, Absent):
        return None
    if arbiter == node.settings.host:
        return (
            answer_trial_request if path == "/peer/trial" else apply_suspicion_report
        )(node, message)
    address = node.host_addresses.get(arbiter, "")
    answer = await node.peers.query(address, path, message)
    return None if isinstance(answer, PeerUnreachable) else answer


async def _tell_hosts(node: Node, path: str, message: dict[str, Any]) -> None:
    others = [host for host in node.live_hosts_here() if host != node.settings.host]
    async with trio.open_nursery() as nursery:
        for host in others[:MOST_TOLD]:
            address = node.host_addresses[host]
            nursery.start_soon(node.peers.query, address, path, message)


def _apply(node: Node, conviction: QuarantineDecision, source: str) -> bool:
    if not node.containment.apply_decision(conviction, node.now()):
        return False
    node.arbiter.mark_explained(conviction.deaths, node.now())
    name = conviction.fingerprint.hex()
    node.record("quarantine", source, "", f"{name} {conviction.remaining_s:.0f} s")
    return True


def _encode_grant(granted: TrialLease | QuarantineDecision | Absent) -> dict[str, Any]:
    if isinstance(granted, TrialLease):
        return {"granted": True}
    if isinstance(granted, QuarantineDecision):
        return {"conviction": _encode(granted)}
    return {"retry_after_s": granted.retry_after_s}


def _encode(conviction: QuarantineDecision) -> dict[str, Any]:
    return {
        "fingerprint": conviction.fingerprint.hex(),
        "scope": conviction.scope,
        "remaining_s": conviction.remaining_s,
        "deaths": _encode_deaths(conviction.deaths),
    }


def _decode_conviction(value: dict[str, Any]) -> QuarantineDecision:
    return QuarantineDecision(
        bytes.fromhex(value["fingerprint"]),
        str(value["scope"]),
        float(value["remaining_s"]),
        _decode_deaths(value["deaths"]),
    )


def _encode_report(report: CrashReport) -> dict[str, Any]:
    return {
        "fingerprint": report.fingerprint.hex(),
        "scope": report.scope,
        "deaths": _encode_deaths(report.deaths),
        "alone": report.alone,
        "tokens": report.tokens,
    }


def _decode_report(value: dict[str, Any]) -> CrashReport:
    return CrashReport(
        bytes.fromhex(value["fingerprint"]),
        str(value["scope"]),
        _decode_deaths(value["deaths"]),
        bool(value["alone"]),
        int(value["tokens"]),
    )


def _encode_deaths(deaths: frozenset[TargetDeath]) -> list[list[Any]]:
    return [[death.target, death.instance, death.mass_failure] for death in deaths]


def _decode_deaths(values: list[list[Any]]) -> frozenset[TargetDeath]:
    return frozenset(
        TargetDeath(str(target), str(instance), bool(mass))
        for target, instance, mass in values
    )


def admit(node: Node, suspect: Suspect) -> QuarantineStatus | Absent:
    """Return how a request may be sent, or the rest of its sentence."""
    return node.containment.admit(suspect.fingerprints, node.now())
