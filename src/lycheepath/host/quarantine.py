"""
Stops a request that crashes targets from crashing more of them.

A suspected request runs only as a trial: the arbiters of its fingerprint and of
its target, two hosts of the region chosen by hashing, lease the trial to one
host at a time. Hosts exchange only a keyed fingerprint, never any part of the
request.
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
DEATH_CHECK_TIMEOUT_S = 0.3
MAX_HOSTS_NOTIFIED = 64


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request's fingerprints, and the region that its records must stay in."""

    fingerprints: tuple[Fingerprint, ...]
    scope: str

    @property
    def fingerprint(self) -> Fingerprint:
        """The fingerprint under which records are stored."""
        return self.fingerprints[0]


def identify_suspect(node: Node, chat: ChatRequest, bound: str | None) -> Suspect:
    """Return the fingerprints of a chat completion."""
    content = orjson.dumps(chat.messages, option=orjson.OPT_SORT_KEYS)
    scope = bound or UNBOUND_SCOPE
    keys = node.settings.peer_keys
    return Suspect(make_fingerprints(keys, scope, chat.model, content), scope)


async def request_trial(node: Node, suspect: Suspect, holder: str) -> Absent | None:
    """Request the trial lease of a suspect; None if it is granted."""
    subject = suspect.fingerprint.hex()
    return await _request_lease(
        node, subject, {"fingerprint": subject, "holder": holder}
    )


async def request_target_lease(node: Node, target: str, holder: str) -> Absent | None:
    """Request the trial lease of a target; None if it runs no other trial."""
    return await _request_lease(node, target, {"target": target, "holder": holder})


async def release_lease(node: Node, subject: str, holder: str) -> None:
    """Release the lease of a fingerprint or target."""
    await _send_to_arbiter(node, subject, {"end": subject, "holder": holder})


async def handle_broken_answer(node: Node, target: Target, request_id: str) -> None:
    """
    Determine whether the target of a broken answer died, and report it if so.

    A target that still answers has not died: engines take far longer to
    restart than the time until this check.
    """
    answer = await node.engines.read_load(target.address, DEATH_CHECK_TIMEOUT_S)
    if answer is not None:
        node.containment.record_end(request_id)
        return
    node.metrics.count("target_deaths_total", target=target.id)
    instance = str(int(time.time()) // DEATH_WINDOW_S)
    now = node.now()
    _, reports = node.containment.record_target_death(target.id, instance, now)
    for report in reports:
        await _distribute_report(node, report)


def answer_trial_request(node: Node, message: dict[str, Any]) -> dict[str, Any]:
    """Answer a lease request of a host for which this one is the arbiter."""
    now = node.now()
    holder = str(message["holder"])
    if "end" in message:
        node.arbiter.release_lease(str(message["end"]), holder)
        return {}
    if "target" in message:
        granted = node.arbiter.grant_target(str(message["target"]), holder, now)
        return _encode_grant(granted)
    fingerprint = bytes.fromhex(message["fingerprint"])
    return _encode_grant(node.arbiter.grant_trial(fingerprint, holder, now))


def apply_suspicion_report(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Apply a peer's crash report; return this arbiter's decision, if any."""
    report = _decode_report(value)
    node.containment.apply_report(report, node.now())
    decision = node.arbiter.add_report(report, node.now())
    return {"conviction": None if decision is None else _encode_decision(decision)}


def apply_quarantine_decision(node: Node, value: dict[str, Any]) -> dict[str, Any]:
    """Apply a peer's quarantine decision."""
    decision = _decode_decision(value)
    _apply_decision(node, decision, "peer")
    return {}


def apply_quarantine_update(node: Node, fingerprint: bytes, ttl_s: float) -> None:
    """Apply a quarantine decision received as an update, without its evidence."""
    deaths = frozenset({TargetDeath("news", fingerprint.hex())})
    _apply_decision(
        node, QuarantineDecision(fingerprint, UNBOUND_SCOPE, ttl_s, deaths), "news"
    )


async def distribute_decision(node: Node, decision: QuarantineDecision) -> None:
    """Apply a quarantine decision and send it to the hosts within its scope."""
    if not _apply_decision(node, decision, "arbiter"):
        return
    if decision.scope == UNBOUND_SCOPE:
        ttl_s = int(decision.remaining_s)
        update = pack_quarantine(decision.fingerprint, ttl_s, node.next_stamp())
        node.publish_update(update)
    await _send_to_hosts(node, "/peer/conviction", _encode_decision(decision))


async def _distribute_report(node: Node, report: CrashReport) -> None:
    subject = report.fingerprint.hex()
    node.arbiter.add_report(report, node.now())
    answer = await _send_to_arbiter(
        node, subject, _encode_report(report), "/peer/suspicion"
    )
    decision = _read_decision(answer, node.containment.decide_locally(report))
    if decision is not None:
        await distribute_decision(node, decision)
        return
    await _send_to_hosts(node, "/peer/suspicion", _encode_report(report))


def _read_decision(
    answer: dict[str, Any] | None, local_decision: QuarantineDecision | None
) -> QuarantineDecision | None:
    """Return the arbiter's decision, or the local one if no arbiter answered."""
    if answer is None:
        return local_decision
    decision = answer.get("conviction")
    return _decode_decision(decision) if decision else None


async def _request_lease(
    node: Node, subject: str, message: dict[str, Any]
) -> Absent | None:
    answer = await _send_to_arbiter(node, subject, message)
    if answer is None:
        return Absent(Reason.IN_PROGRESS, TRIAL_RETRY_S, "the arbiter is silent")
    if answer.get("granted"):
        return None
    if answer.get("conviction"):
        decision = _decode_decision(answer["conviction"])
        await distribute_decision(node, decision)
        return Absent(Reason.QUARANTINED, decision.remaining_s)
    retry_after_s = float(answer.get("retry_after_s", TRIAL_RETRY_S))
    return Absent(Reason.IN_PROGRESS, retry_after_s, "another trial runs")


async def _send_to_arbiter(
    node: Node, subject: str, message: dict[str, Any], path: str = "/peer/trial"
) -> dict[str, Any] | None:
    arbiter = find_arbiter(node.live_local_hosts(), subject)
    if isinstance(arbiter, Absent):
        return None
    if arbiter == node.settings.host:
        return (
            answer_trial_request if path == "/peer/trial" else apply_suspicion_report
        )(node, message)
    address = node.host_addresses.get(arbiter, "")
    answer = await node.peers.query(address, path, message)
    return None if isinstance(answer, PeerUnreachable) else answer


async def _send_to_hosts(node: Node, path: str, message: dict[str, Any]) -> None:
    others = [host for host in node.live_local_hosts() if host != node.settings.host]
    async with trio.open_nursery() as nursery:
        for host in others[:MAX_HOSTS_NOTIFIED]:
            address = node.host_addresses[host]
            nursery.start_soon(node.peers.query, address, path, message)


def _apply_decision(node: Node, decision: QuarantineDecision, source: str) -> bool:
    if not node.containment.apply_decision(decision, node.now()):
        return False
    node.arbiter.mark_explained(decision.deaths, node.now())
    name = decision.fingerprint.hex()
    node.record_change("quarantine", source, "", f"{name} {decision.remaining_s:.0f} s")
    return True


def _encode_grant(granted: TrialLease | QuarantineDecision | Absent) -> dict[str, Any]:
    if isinstance(granted, TrialLease):
        return {"granted": True}
    if isinstance(granted, QuarantineDecision):
        return {"conviction": _encode_decision(granted)}
    return {"retry_after_s": granted.retry_after_s}


def _encode_decision(decision: QuarantineDecision) -> dict[str, Any]:
    return {
        "fingerprint": decision.fingerprint.hex(),
        "scope": decision.scope,
        "remaining_s": decision.remaining_s,
        "deaths": _encode_deaths(decision.deaths),
    }


def _decode_decision(value: dict[str, Any]) -> QuarantineDecision:
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


def check_admission(node: Node, suspect: Suspect) -> QuarantineStatus | Absent:
    """Return how a request may be sent, or the rest of its quarantine."""
    return node.containment.admit(suspect.fingerprints, node.now())
