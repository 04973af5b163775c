"""
The platform's headers on requests and answers.

``read_request`` and ``read_answer`` decode what callers and targets send;
``write_request`` gives the headers for a target. Headers that are the
gateway's own to set are dropped from what a caller sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.serving.answers import AnswerHead, ReportedLoad
from ..core.serving.requests import Prompt, PromptPart, RequestHead

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.serving.requests import Dispatch

    Headers = Iterable[tuple[bytes, bytes]]

# Headers about one connection; the next connection gets its own.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Headers that only the gateway sets towards a target.
GATEWAY_HEADERS = frozenset(
    {
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"pin-ms",
        b"request-priority",
    }
)
DROPPED = CONNECTION_HEADERS | GATEWAY_HEADERS | {b"content-length", b"expect"}
# The target isn't the one that was named to it, and ran nothing.
OTHER_TARGET_STATUS = 421
# The target turns a request away, and may say for how long.
BUSY_STATUS = 503
# A longer time isn't taken for meant: the target would be given up for good.
MOST_BUSY_S = 300.0
MOST_PROMPT_PARTS = 64


def read_request(headers: Headers) -> RequestHead:
    """Return what the headers of a caller's request say."""
    fields: dict[bytes, bytes] = {}
    kept = []
    named = _connection_names(headers)
    for name, value in headers:
        fields.setdefault(name, value)
        if name not in DROPPED and name not in named:
            kept.append((name, value))
    return RequestHead(
        id=fields.get(b"request-id", b"").decode("latin-1"),
        host=_strip_port(fields.get(b"host", b"").decode("latin-1")),
        deadline_s=_read_ms(fields.get(b"deadline-ms")),
        last_event_id=_read_count(fields.get(b"last-event-id")),
        prompt=_read_prompt(fields),
        headers=tuple(kept),
    )


def write_request(facts: RequestHead, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request as a target is to get them."""
    headers = [h for h in facts.headers if h[0] != b"last-event-id"]
    headers.append((b"expect-instance", dispatch.target.encode()))
    headers.append((b"deadline-ms", b"%d" % max(1, int(dispatch.left_s * 1000))))
    if dispatch.priority is not None:
        headers.append((b"request-priority", b"%d" % dispatch.priority))
    if dispatch.fetch_from:
        headers.append((b"kv-fetch", dispatch.fetch_from.encode()))
    if dispatch.last_event_id is not None:
        headers.append((b"last-event-id", b"%d" % dispatch.last_event_id))
    return headers


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Return what the status and headers of a target's answer say."""
    fields = dict(headers)
    connection = fields.get(b"connection", b"").lower()
    named = _connection_names(headers)
    unread: list[str] = []
    return AnswerHead(
        status=status,
        request_id=fields.get(b"request-id", b"").decode("latin-1"),
        signed=b"response-signature" in fields,
        not_run=status == OTHER_TARGET_STATUS or b"not-executed" in fields,
        load=_read_load(fields.get(b"server-load")),
        idle_s=_read_keep_alive(fields.get(b"keep-alive")),
        closes_connection=b"close" in connection,
        headers=tuple(
            h for h in headers if h[0] not in CONNECTION_HEADERS and h[0] not in named
        ),
        target_replaced=status == OTHER_TARGET_STATUS,
        draining=_read_leaving(fields.get(b"server-leaving"), unread),
        busy_s=_read_busy_s(status, fields.get(b"retry-after"), unread),
        unreadable_headers=tuple(unread),
    )


def _read_leaving(text: bytes | None, unread: list[str]) -> bool:
    if text is None or text.strip() == b"1":
        return text is not None
    unread.append("server-leaving")
    return False


def _read_busy_s(status: int, text: bytes | None, unread: list[str]) -> float | None:
    """Return for how long a target wants nothing, in seconds; dates aren't read."""
    if status != BUSY_STATUS or text is None:
        return None
    try:
        busy_s = float(text)
    except ValueError:
        busy_s = -1.0
    if 0.0 <= busy_s <= MOST_BUSY_S:
        return busy_s
    unread.append("retry-after")
    return None


def _connection_names(headers: Headers) -> frozenset[bytes]:
    """Return the headers that a ``Connection`` header names as its own."""
    for name, value in headers:
        if name == b"connection":
            return frozenset(part.strip().lower() for part in value.split(b","))
    return frozenset()


def _strip_port(host: str) -> str:
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()


def _read_ms(text: bytes | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text) / 1000.0)
    except ValueError:
        return None


def _read_count(text: bytes | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _read_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    usage = fields.get(b"token-usage", b"").split(b",")
    if len(usage) != 2 or not all(part.strip().isdigit() for part in usage):
        return None
    parts = []
    for entry in fields.get(b"prompt-prefix", b"").split(b",")[:MOST_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        if not tokens.isdigit():
            break
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return Prompt(
        model=fields.get(b"model", b"").decode("latin-1"),
        # The prompt's tokens, and the most that the answer may have.
        tokens=int(usage[0]),
        max_answer_tokens=int(usage[1]),
        parts=tuple(parts),
        expected_answer_tokens=_read_count(fields.get(b"length-hint")),
    )


def _read_load(text: bytes | None) -> ReportedLoad | None:
    parts = (text or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return ReportedLoad(running, waiting, slots)


def _read_keep_alive(text: bytes | None) -> float | None:
    for part in (text or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
