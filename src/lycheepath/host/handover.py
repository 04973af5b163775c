"""
Hands claims over from a draining process to the next process of the same host.

A draining process gives its claims to one host of its region, the holder. The
next process of the same host queries for them, and can then attest at once for
keys that its predecessor had. Similar messages move keys when a document changes
the host that issues them.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger

from ..adapters.peer_requests import PeerUnreachable
from ..core.actions.attestation import IssuerState
from ..core.actions.claims import Claim, KeyOrigin, RecordedAnswer
from ..core.actions.handover import Handover, HandoverRecord
from ..core.actions.issuance import list_holders, list_issuers, select_issuer
from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from ..core.environment.model import Environment, Host
    from .node import Node

MAX_HOLDERS_QUERIED = 3
QUERY_INTERVAL_S = 0.25
RELEASE_RENEWAL_INTERVAL_S = 5.0
CLOSE_POLL_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 1.0
MAX_RELEASE_QUERIES = 4


async def hand_over_claims(node: Node) -> None:
    """Stop running actions permanently and give the claims to one holder."""
    environment = node.environment
    if environment is None:
        return
    clocks = await _read_holder_clocks(node, environment)
    node.ledger.close()
    with trio.move_on_after(CLOSE_TIMEOUT_S):
        while node.ledger.in_flight:
            await trio.sleep(CLOSE_POLL_INTERVAL_S)
    for holder, clock in clocks:
        records = node.ledger.export_records(holder.id, node.now())
        if await _offer_handover(node, environment, holder, clock, records):
            node.record_change("handover", holder.id, "", f"{len(records)} claims")
            return


async def fetch_predecessor_claims(node: Node) -> None:
    """
    Fetch the claims of this host's previous process from its likely holders.

    Holders that do not answer are queried again; that is safe, because a
    holder releases the same claims again to the same process.
    """
    environment = node.environment
    assert environment is not None
    unanswered = _find_holders(node, environment)
    for _ in range(MAX_RELEASE_QUERIES):
        remaining = []
        for holder in unanswered:
            answer = await _query_holder(node, holder)
            if isinstance(answer, PeerUnreachable):
                remaining.append(holder)
            elif answer.get("handover"):
                _import_claims(node, environment, holder, answer["handover"])
                return
        if not remaining:
            return
        unanswered = remaining
        await trio.sleep(QUERY_INTERVAL_S)


async def _query_holder(node: Node, holder: Host) -> dict[str, Any] | PeerUnreachable:
    query = {"host": node.settings.host, "incarnation": node.owner.incarnation}
    address = holder.callers_address
    return await node.peers.query(address, "/peer/handover/release", query)


def _import_claims(
    node: Node, environment: Environment, holder: Host, value: dict[str, Any]
) -> None:
    handover = decode_handover(value)
    now = node.now()
    if node.attestation.accept_handover(handover, environment.revision, now):
        node.ledger.import_handover(handover, now)
        count = len(handover.records)
        node.record_change(
            "handover", holder.id, handover.incarnation, f"{count} claims"
        )


async def establish_attestation(node: Node) -> None:
    """Query the region's other issuers until they confirm this host's document."""
    while not node.attestation.established:
        environment = node.environment
        assert environment is not None
        region = node.settings.region
        async with trio.open_nursery() as nursery:
            for host in environment.hosts:
                issues = host.id in list_issuers(environment, region)
                if issues and host.id != node.settings.host:
                    nursery.start_soon(_query_issuer, node, environment, host)
        await trio.sleep(QUERY_INTERVAL_S)


async def renew_releases(node: Node) -> None:
    """Request the keys that a document moved here from their previous issuers."""
    while True:
        environment = node.environment
        if environment is not None and environment.issuers.previous:
            for host in environment.hosts:
                if _may_release_keys(node, environment, host):
                    await _request_release(node, environment, host)
        settled = node.attestation.established
        await trio.sleep(RELEASE_RENEWAL_INTERVAL_S if settled else QUERY_INTERVAL_S)


def release_moved_claims(node: Node, query: dict[str, Any]) -> dict[str, Any]:
    """Answer a host that requests the keys that this one issued before."""
    environment = node.environment
    assert environment is not None
    region = node.settings.region
    window_s = float(query["window_s"])
    absent = node.attestation.check_release(
        environment, int(query["revision"]), window_s, node.now()
    )
    if absent is not None:
        return {"reason": absent.reason.value}

    def moved(claim: Claim) -> bool:
        issuer = select_issuer(
            environment, region, claim.team, claim.service, claim.key
        )
        return bool(issuer == query["host"])

    records = node.ledger.export_moved(moved, node.now())
    if isinstance(records, Absent):
        return {"reason": records.reason.value}
    return {
        "revision": environment.revision,
        "records": [_encode_record(record) for record in records],
    }


def accept_handover(node: Node, offer: dict[str, Any]) -> dict[str, Any]:
    """Store another host's claims for its next process."""
    handover = decode_handover(offer["handover"])
    refused = node.handover_store.accept(handover, float(offer["heard_at"]), node.now())
    return {"held": refused is None}


def release_handover(node: Node, query: dict[str, Any]) -> dict[str, Any]:
    """Release stored claims to the next process of the host that handed them over."""
    released = node.handover_store.release(
        str(query["host"]), str(query["incarnation"]), node.now()
    )
    if isinstance(released, Absent):
        return {"handover": None}
    return {"handover": encode_handover(released)}


def encode_handover(handover: Handover) -> dict[str, Any]:
    """Return a handover as JSON values."""
    return {
        "host": handover.host,
        "incarnation": handover.incarnation,
        "revision": handover.revision,
        "wait_s": handover.wait_s,
        "sealed_at": handover.sealed_at,
        "records": [_encode_record(record) for record in handover.records],
    }


def decode_handover(value: dict[str, Any]) -> Handover:
    """Read a handover from JSON values; raises on malformed values."""
    return Handover(
        host=str(value["host"]),
        incarnation=str(value["incarnation"]),
        revision=int(value["revision"]),
        wait_s=float(value["wait_s"]),
        sealed_at=float(value["sealed_at"]),
        records=tuple(_decode_record(record) for record in value["records"]),
    )


def _encode_record(record: HandoverRecord) -> dict[str, Any]:
    claim = record.claim
    answer = record.answer
    return {
        "claim": [claim.team, claim.service, claim.key, claim.origin.value],
        "state": record.state,
        "fingerprint": record.fingerprint.hex(),
        "remaining_s": record.remaining_s,
        "reason": record.reason.value,
        "answer": None if answer is None else _encode_answer(answer),
    }


def _encode_answer(answer: RecordedAnswer) -> list[Any]:
    body = None if answer.body is None else b64encode(answer.body).decode()
    return [answer.status, answer.content_type, body]


def _decode_record(value: dict[str, Any]) -> HandoverRecord:
    team, service, key, origin = value["claim"]
    answer = value["answer"]
    return HandoverRecord(
        claim=Claim(team, service, key, KeyOrigin(origin)),
        state=str(value["state"]),
        fingerprint=bytes.fromhex(value["fingerprint"]),
        remaining_s=float(value["remaining_s"]),
        reason=Reason(value["reason"]),
        answer=None if answer is None else _decode_answer(answer),
    )


def _decode_answer(value: list[Any]) -> RecordedAnswer:
    status, content_type, body = value
    return RecordedAnswer(
        int(status), str(content_type), None if body is None else b64decode(body)
    )


def _find_holders(node: Node, environment: Environment) -> list[Host]:
    by_id = {host.id: host for host in environment.hosts}
    holders = list_holders(environment, node.settings.host)
    return [by_id[holder] for holder in holders[:MAX_HOLDERS_QUERIED]]


async def _read_holder_clocks(
    node: Node, environment: Environment
) -> list[tuple[Host, float]]:
    clocks = []
    for holder in _find_holders(node, environment):
        answer = await node.peers.query(holder.callers_address, "/peer/state")
        if not isinstance(answer, PeerUnreachable) and not answer["draining"]:
            clocks.append((holder, float(answer["clock"])))
    return clocks


async def _offer_handover(
    node: Node,
    environment: Environment,
    holder: Host,
    clock: float,
    records: tuple[HandoverRecord, ...],
) -> bool:
    handover = Handover(
        host=node.settings.host,
        incarnation=node.owner.incarnation,
        revision=environment.revision,
        wait_s=node.attestation.compute_handover_wait_s(environment, node.now()),
        sealed_at=node.now(),
        records=records,
    )
    offer = {"handover": encode_handover(handover), "heard_at": clock}
    answer = await node.peers.query(holder.callers_address, "/peer/handover", offer)
    if isinstance(answer, PeerUnreachable):
        if not answer.sent:
            node.ledger.release_refused_holder(holder.id)
            return False
        logger.warning("handover to {} got no answer: {}", holder.id, answer.detail)
        return True
    if not answer["held"]:
        node.ledger.release_refused_holder(holder.id)
    return bool(answer["held"])


def _find_longest_window_s(environment: Environment) -> float:
    return max((s.resend_window_s for s in environment.services), default=0.0)


async def _query_issuer(node: Node, environment: Environment, host: Host) -> None:
    answer = await node.peers.query(host.callers_address, "/peer/state")
    if isinstance(answer, PeerUnreachable):
        return
    state = IssuerState(
        str(answer["host"]),
        str(answer["incarnation"]),
        int(answer["revision"]),
        bool(answer["established"]),
    )
    node.attestation.apply_issuer_state(state, environment, node.settings.region)


def _may_release_keys(node: Node, environment: Environment, host: Host) -> bool:
    return (
        host.id != node.settings.host
        and host.id in environment.issuers.previous
        and node.region_of(host) == node.settings.region
    )


async def _request_release(node: Node, environment: Environment, host: Host) -> None:
    query = {
        "host": node.settings.host,
        "revision": environment.revision,
        "window_s": _find_longest_window_s(environment),
    }
    queried_at = node.now()
    answer = await node.peers.query(host.callers_address, "/peer/moved", query)
    if isinstance(answer, PeerUnreachable) or "records" not in answer:
        return
    records = tuple(_decode_record(record) for record in answer["records"])
    node.ledger.import_records(records, node.now())
    node.attestation.apply_release(host.id, int(answer["revision"]), queried_at)
