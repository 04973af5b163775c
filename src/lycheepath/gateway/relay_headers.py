"""
What hosts tell each other about the requests that they relay, as headers.

A host of an earlier version leaves headers out that it doesn't know, and ignores them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from ..core.catalog.model import Instance
from ..core.placement.statements import list_leaving
from ..platform.headers import write_team

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..adapters.http1.downstream import ReceivedRequest
    from .attempts import Attempt
    from .node import GatewayNode

SERVICE_HEADER = b"lycheepath-service"
LEFT_MS_HEADER = b"lycheepath-left-ms"
WAITED_MS_HEADER = b"lycheepath-waited-ms"
LAST_EVENT_HEADER = b"lycheepath-last-event"
COMMITTED_HEADER = b"lycheepath-committed"
TRIAL_HEADER = b"lycheepath-trial"
# In a request: the targets that told the first host that they are draining.
LEAVING_HEADER = b"lycheepath-leaving"
# In a request: the targets of the region to which it has been sent.
TRIED_HEADER = b"lycheepath-tried"
# In a request: the first host can be told that the target is silent. In an interim
# answer: the target that is silent before its answer.
SILENCE_HEADER = b"lycheepath-silence"
# A comment within a stream, for the first host: the target is silent.
SILENCE_COMMENT = b": lycheepath-silence"
# In a request the version at which a stream has to go on, in an answer the target's.
VERSION_HEADER = b"lycheepath-version"
RESULT_HEADER = b"lycheepath-result"
REASON_HEADER = b"lycheepath-reason"
CLOSED_HEADER = b"lycheepath-closed"
TARGET_HEADER = b"lycheepath-target"
# In a result: the host can't reach the targets itself.
UNREACHABLE_HEADER = b"lycheepath-out-of-reach"
RELAY_HEADERS = frozenset(
    {
        SERVICE_HEADER,
        LEFT_MS_HEADER,
        WAITED_MS_HEADER,
        LAST_EVENT_HEADER,
        COMMITTED_HEADER,
        TRIAL_HEADER,
        LEAVING_HEADER,
        TRIED_HEADER,
        SILENCE_HEADER,
        VERSION_HEADER,
        RESULT_HEADER,
        REASON_HEADER,
        CLOSED_HEADER,
        TARGET_HEADER,
        UNREACHABLE_HEADER,
    }
)

# Largest number of draining targets that are named with a request.
MAX_LEAVING = 32


@dataclass(frozen=True, slots=True)
class RelayMetadata:
    """
    What the first host states about a request that it relays.

    ``tried`` are the targets to which it has been sent, ``takes_silence`` says that
    the first host can be told that the target is silent.
    """

    service: str
    left_s: float
    waited_s: float
    last_event_id: int | None
    committed: bool
    on_trial: bool
    version: str | None
    leaving: tuple[Instance, ...]
    tried: frozenset[str]
    takes_silence: bool


def write_relay_headers(
    node: GatewayNode, attempt: Attempt
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is relayed, with its framing."""
    exchange, region = attempt.exchange, attempt.placed.target.region
    now = node.now()
    waited_s = exchange.find_placing_wait_s(now)
    headers = [h for h in exchange.request_head.headers if h[0] not in RELAY_HEADERS]
    headers += [
        (SERVICE_HEADER, exchange.service.encode()),
        (LEFT_MS_HEADER, b"%d" % int((exchange.deadline - now) * 1000)),
        (WAITED_MS_HEADER, b"%d" % int(waited_s * 1000)),
        (SILENCE_HEADER, b"1"),
    ]
    if attempt.cutter.last_id is not None:
        headers.append((LAST_EVENT_HEADER, b"%d" % attempt.cutter.last_id))
    if exchange.attempts.started > 1:
        headers.append((COMMITTED_HEADER, b"1"))
    if exchange.on_trial:
        headers.append((TRIAL_HEADER, b"1"))
    leaving = list_leaving(node.registry, exchange.service, region)
    if leaving:
        headers.append((LEAVING_HEADER, _write_instances(leaving[:MAX_LEAVING])))
    tried = [
        each
        for each in exchange.previous_attempts.targets
        if (target := node.registry.targets.get(each)) and target.region == region
    ]
    if tried:
        headers.append((TRIED_HEADER, _write_names(tried)))
    if exchange.team is not None:
        headers.append(write_team(exchange.team.name))
    version = node.versions.find_bound_version(exchange)
    if version is not None:
        headers.append((VERSION_HEADER, version.encode("latin-1")))
    if exchange.request.body:
        headers.append((b"content-length", b"%d" % len(exchange.request.body)))
    return headers


def read_metadata(request: ReceivedRequest) -> RelayMetadata | None:
    """Return what the first host states, or None if that can't be read."""
    fields = dict(request.headers)
    try:
        last = fields.get(LAST_EVENT_HEADER)
        version = fields.get(VERSION_HEADER)
        return RelayMetadata(
            fields[SERVICE_HEADER].decode(),
            int(fields[LEFT_MS_HEADER]) / 1000.0,
            int(fields[WAITED_MS_HEADER]) / 1000.0,
            None if last is None else int(last),
            COMMITTED_HEADER in fields,
            TRIAL_HEADER in fields,
            None if version is None else version.decode("latin-1"),
            _read_instances(fields.get(LEAVING_HEADER, b"")),
            _read_names(fields.get(TRIED_HEADER, b"")),
            SILENCE_HEADER in fields,
        )
    except (KeyError, ValueError):
        return None


def _write_instances(instances: tuple[Instance, ...]) -> bytes:
    """Return a list like ``i-7f:1790000000000,i-2b:0``, whose ids are quoted."""
    parts = (
        f"{quote(each.target, '', errors='replace')}:{each.born_ms}"
        for each in instances
    )
    return ",".join(parts).encode()


def _read_instances(text: bytes) -> tuple[Instance, ...]:
    """Decode a list of instances; raises ValueError."""
    parts = [part.rpartition(":") for part in text.decode("ascii").split(",") if part]
    return tuple(Instance(unquote(name), int(born_ms)) for name, _, born_ms in parts)


def _write_names(names: Iterable[str]) -> bytes:
    """Return a list like ``i-7f,i-2b``, whose names are quoted."""
    return ",".join(quote(name, "", errors="replace") for name in names).encode()


def _read_names(text: bytes) -> frozenset[str]:
    """Decode a list of names; raises ValueError."""
    return frozenset(unquote(part) for part in text.decode("ascii").split(",") if part)
