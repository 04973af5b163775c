"""
The platform's headers on requests and answers.

``read_request`` and ``read_answer`` decode what callers and targets send;
``write_request`` returns the headers for a target. Headers that only the gateway may
set are removed from a caller's request.
"""

from __future__ import annotations

import re
from dataclasses import replace
from typing import TYPE_CHECKING

from ..core.catalog.teams import digest_key
from ..core.serving.answers import AnswerHead, ReportedLoad, find_valid_status
from ..core.serving.requests import (
    NO_CREDENTIALS,
    Credentials,
    CredentialsKind,
    Prompt,
    PromptPart,
    RequestHead,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.serving.requests import Dispatch

    Headers = Iterable[tuple[bytes, bytes]]

# Hop-by-hop headers, which apply to a single connection and aren't forwarded.
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

# Headers of requests to targets that only the gateway may set.
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
STRIPPED_HEADERS = CONNECTION_HEADERS | GATEWAY_HEADERS | {b"content-length", b"expect"}
# Headers that tell whose request it is, where the configuration knows teams.
AUTHORIZATION_HEADER = b"authorization"
TEAM_HEADER = b"tenant"
TEAM_HEADERS = frozenset({AUTHORIZATION_HEADER, TEAM_HEADER})
# The credentials of a request: a scheme and a key of up to 200 bytes.
KEY_CREDENTIALS = re.compile(rb"[Tt][Oo][Kk][Ee][Nn] +([!-~]{1,200})")
# Tells a caller without a valid key which credentials are expected.
CHALLENGE = (b"www-authenticate", b"Token")
# Status of a target that isn't the instance named in the request; the request hasn't
# run.
OTHER_INSTANCE_STATUS = 421
# Status of a target that rejects a request, possibly with a retry-after time.
BUSY_STATUS = 503
# Longest retry-after time that is accepted, in seconds. A longer one is treated as a
# mistake, as it would take the target out of service for good.
MAX_BUSY_S = 300.0
# A decimal number, optionally with an exponent.
DECIMAL = re.compile(rb"(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?")
# Largest request rate that is accepted as a target's limit, in requests per second; no
# target takes as many, so a larger value is treated as a mistake.
MAX_RATE_LIMIT = 1e6
# Largest number of requests that a target can turn away in a second; a larger value is
# treated as a mistake.
MAX_TURN_AWAY_LIMIT = 1e6
# Largest number of parts of a prompt that are read from its header.
MAX_PROMPT_PARTS = 64
# Most digits of a whole number that is read from a header, so that sums of such numbers
# stay within 64 bits. A longer one is treated as absent.
MAX_DIGITS = 15
# Largest deadline that is read from a header, in seconds. A longer one is treated as
# absent.
MAX_HEADER_TIME_S = 1e9
# Largest value of the time that work takes on a target's machine, in percent of the
# usual time. A larger one is treated as absent.
MAX_WORK_TIME_PERCENT = 10_000


def read_request(headers: Headers) -> RequestHead:
    """Decode the headers of a caller's request."""
    fields: dict[bytes, bytes] = {}
    end_to_end = []
    hop_headers = _connection_names(headers)
    for name, value in headers:
        fields.setdefault(name, value)
        if name not in STRIPPED_HEADERS and name not in hop_headers:
            end_to_end.append((name, value))
    return RequestHead(
        id=fields.get(b"request-id", b"").decode("latin-1"),
        host=_strip_port(fields.get(b"host", b"").decode("latin-1")),
        deadline_s=_read_ms(fields.get(b"deadline-ms")),
        last_event_id=_read_count(fields.get(b"last-event-id")),
        prompt=_read_prompt(fields),
        headers=tuple(end_to_end),
        resumes=fields.get(b"resumes", b"").decode("latin-1"),
        credentials=_read_credentials(headers),
        team=_read_team(fields.get(TEAM_HEADER)),
    )


def strip_team_headers(head: RequestHead) -> RequestHead:
    """Return a request head without the key and team that the caller sent."""
    headers = tuple(h for h in head.headers if h[0] not in TEAM_HEADERS)
    return replace(head, headers=headers)


def write_team(name: str) -> tuple[bytes, bytes]:
    """Return the header that tells a target or a host whose request it is."""
    return TEAM_HEADER, name.encode()


def find_request_id(headers: Headers) -> str:
    """Return the id of a caller's request, or an empty text."""
    return dict(headers).get(b"request-id", b"").decode("latin-1")


def write_request(head: RequestHead, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to a target."""
    headers = [h for h in head.headers if h[0] != b"last-event-id"]
    headers.append((b"expect-instance", dispatch.target.encode()))
    headers.append((b"deadline-ms", b"%d" % max(1, int(dispatch.left_s * 1000))))
    if dispatch.priority is not None:
        headers.append((b"request-priority", b"%d" % dispatch.priority))
    if dispatch.fetch_from:
        headers.append((b"kv-fetch", dispatch.fetch_from.encode()))
    if dispatch.last_event_id is not None:
        headers.append((b"last-event-id", b"%d" % dispatch.last_event_id))
    if dispatch.team is not None:
        headers.append(write_team(dispatch.team))
    return headers


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the status and headers of a target's answer."""
    status = find_valid_status(status)
    fields = dict(headers)
    connection = fields.get(b"connection", b"").lower()
    hop_headers = _connection_names(headers)
    unreadable: list[str] = []
    return AnswerHead(
        status=status,
        request_id=fields.get(b"request-id", b"").decode("latin-1"),
        signed=b"response-signature" in fields,
        not_run=status == OTHER_INSTANCE_STATUS or b"not-executed" in fields,
        load=_read_load(fields.get(b"server-load")),
        idle_s=_read_keep_alive(fields.get(b"keep-alive")),
        closes_connection=b"close" in connection,
        headers=tuple(
            h
            for h in headers
            if h[0] not in CONNECTION_HEADERS and h[0] not in hop_headers
        ),
        target_replaced=status == OTHER_INSTANCE_STATUS,
        draining=_read_draining(fields.get(b"server-leaving"), unreadable),
        busy_s=_read_busy_s(status, fields.get(b"retry-after"), unreadable),
        rate_limit=_read_rate_limit(headers, unreadable),
        rate_limit_unreadable="server-limit" in unreadable,
        turn_away_limit=_read_turn_away_limit(headers, unreadable),
        turn_away_limit_unreadable="server-brittle" in unreadable,
        unreadable_headers=tuple(unreadable),
    )


def _read_draining(text: bytes | None, unreadable: list[str]) -> bool:
    if text is None or text.strip() == b"1":
        return text is not None
    unreadable.append("server-leaving")
    return False


def _read_busy_s(
    status: int, text: bytes | None, unreadable: list[str]
) -> float | None:
    """Return for how long a target rejects requests, in seconds; ignores dates."""
    if status != BUSY_STATUS or text is None:
        return None
    try:
        busy_s = float(text)
    except ValueError:
        busy_s = -1.0
    if 0.0 <= busy_s <= MAX_BUSY_S:
        return busy_s
    unreadable.append("retry-after")
    return None


def _read_rate_limit(headers: Headers, unreadable: list[str]) -> float | None:
    """Return the requests per second that a target takes from all hosts together."""
    values = [value.strip() for name, value in headers if name == b"server-limit"]
    if not values:
        return None
    if len(values) == 1 and DECIMAL.fullmatch(values[0]):
        rate_limit = float(values[0])
        if 0.0 < rate_limit <= MAX_RATE_LIMIT:
            return rate_limit
    unreadable.append("server-limit")
    return None


def _read_turn_away_limit(headers: Headers, unreadable: list[str]) -> int | None:
    """Return the requests that a brittle target can turn away in a second."""
    values = [value.strip() for name, value in headers if name == b"server-brittle"]
    if not values:
        return None
    if len(values) == 1 and DECIMAL.fullmatch(values[0]):
        limit = float(values[0])
        if limit <= MAX_TURN_AWAY_LIMIT:
            return int(limit)
    unreadable.append("server-brittle")
    return None


def _connection_names(headers: Headers) -> frozenset[bytes]:
    """Return the headers that the ``Connection`` header lists as hop-by-hop."""
    for name, value in headers:
        if name == b"connection":
            return frozenset(part.strip().lower() for part in value.split(b","))
    return frozenset()


def _strip_port(host: str) -> str:
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()


def _read_credentials(headers: Headers) -> Credentials:
    values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
    if not values:
        return NO_CREDENTIALS
    match = KEY_CREDENTIALS.fullmatch(values[0].strip())
    if len(values) > 1 or match is None:
        return Credentials(CredentialsKind.MALFORMED)
    return Credentials(CredentialsKind.KEY, digest_key(match.group(1)))


def _read_team(name: bytes | None) -> str | None:
    """Return the team that a request states, None if it isn't the text of a name."""
    try:
        return None if name is None else name.decode()
    except UnicodeDecodeError:
        return None


def _read_ms(text: bytes | None) -> float | None:
    try:
        time_s = float(text or b"nan") / 1000.0
    except ValueError:
        return None
    # Times that aren't numbers (nan) are outside the range too.
    in_range = -MAX_HEADER_TIME_S <= time_s <= MAX_HEADER_TIME_S
    return max(0.0, time_s) if in_range else None


def _read_count(text: bytes | None) -> int | None:
    if text is None or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _read_counts(parts: list[bytes]) -> list[int]:
    """Return the whole numbers of a list that are in range, the others left out."""
    counts = (_read_count(part.strip()) for part in parts)
    return [count for count in counts if count is not None]


def _read_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    usage = fields.get(b"token-usage", b"").split(b",")
    counts = _read_counts(usage)
    if len(usage) != 2 or len(counts) != 2:
        return None
    parts = []
    for entry in fields.get(b"prompt-prefix", b"").split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        part_tokens = _read_count(tokens)
        if part_tokens is None:
            break
        parts.append(PromptPart(name.decode("latin-1"), part_tokens))
    return Prompt(
        model=fields.get(b"model", b"").decode("latin-1"),
        # The tokens of the prompt, and the largest number of tokens of the answer.
        tokens=counts[0],
        max_answer_tokens=counts[1],
        parts=tuple(parts),
        expected_answer_tokens=_read_count(fields.get(b"length-hint")),
    )


def _read_load(text: bytes | None) -> ReportedLoad | None:
    parts = (text or b"").split(b",")
    counts = _read_counts(parts[:3])
    if len(parts) not in (3, 4) or len(counts) != 3:
        return None
    percent = _read_count(parts[3].strip()) if len(parts) == 4 else None
    if percent is not None and not 0 < percent <= MAX_WORK_TIME_PERCENT:
        percent = None
    running, waiting, slots = counts
    return ReportedLoad(running, waiting, slots, percent)


def _read_keep_alive(text: bytes | None) -> float | None:
    for part in (text or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        time_s = _read_count(value.strip())
        if name.lower() == b"timeout" and time_s is not None:
            return float(time_s)
    return None
