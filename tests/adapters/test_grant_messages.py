from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.grant_messages import (
    BRITTLE_REPORT,
    GRANT_QUERY,
    MAX_LIMIT,
    BrittleReport,
    GrantMessage,
    GrantQuery,
    GrantReply,
    RefusalReport,
    decode_grant_message,
    encode_grant_message,
    is_grant_message,
)
from lycheepath.adapters.heartbeats import BeatError, decode_heartbeat, parse_datagram
from lycheepath.adapters.limit_messages import is_limit_message
from lycheepath.adapters.load_messages import MessageError, is_load_message
from lycheepath.core.placement.brittleness import BrittleStatement

MESSAGES = [
    GrantQuery(4, "host-1", "i-1", 7, 3, 2),
    GrantReply(4, "host-2", 0.125),
    RefusalReport("host-1", "i-1", 7, 0),
    BrittleReport("host-1", (BrittleStatement("books", 3, 0.25),)),
]
VALUES = strategies.one_of(
    strategies.none(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
)


@pytest.mark.parametrize("message", MESSAGES)
def test_message_survives_encoding(message: GrantMessage) -> None:
    fields = parse_datagram(encode_grant_message(message))
    assert is_grant_message(fields[0])
    assert decode_grant_message(fields) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_hosts_without_grants_drop_their_messages(message: GrantMessage) -> None:
    data = encode_grant_message(message)
    kind = parse_datagram(data)[0]
    assert not is_load_message(kind)
    assert not is_limit_message(kind)
    with pytest.raises(BeatError):
        decode_heartbeat(data)


@pytest.mark.parametrize(
    "fields",
    [
        [GRANT_QUERY, 1, "host-1", "i-1", 7, -1, 0],
        [GRANT_QUERY, 1, "host-1", "i-1", 7, MAX_LIMIT + 1, 0],
        [GRANT_QUERY, 1, "host-1", "i-1"],
        [BRITTLE_REPORT, "host-1", [["books", 3, float("nan")]]],
        [BRITTLE_REPORT, "host-1", [["books", 3, -1.0]]],
        [BRITTLE_REPORT, "host-1", 3],
    ],
)
def test_message_with_values_out_of_range_is_rejected(fields: list[object]) -> None:
    with pytest.raises(MessageError):
        decode_grant_message(fields)


@given(strategies.integers(40, 45), strategies.lists(VALUES, max_size=6))
def test_any_fields_are_decoded_or_rejected(kind: int, values: list[object]) -> None:
    try:
        message = decode_grant_message([kind, *values])
    except MessageError:
        return
    assert is_grant_message(parse_datagram(encode_grant_message(message))[0])
