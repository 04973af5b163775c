from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.crash_messages import is_crash_report
from lycheepath.adapters.heartbeats import BeatError, decode_heartbeat, parse_datagram
from lycheepath.adapters.limit_messages import is_limit_message
from lycheepath.adapters.load_messages import MessageError, is_load_message
from lycheepath.adapters.origin_messages import (
    ORIGIN_REPORT,
    OriginMessage,
    OriginQuery,
    OriginReply,
    OriginReport,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from lycheepath.core.serving.origins import Origin

ORIGIN = Origin("pool", "v1.1", "i-7f")
MESSAGES: list[OriginMessage] = [
    OriginReport((("9c41", ORIGIN, 0.25),)),
    OriginQuery(7, "host-1", "9c41", "pool", 20.0),
    OriginQuery(7, "host-1", "9c41", "pool", 20.0, "5c1e"),
    OriginReply(7, "host-2", ORIGIN, None),
    OriginReply(7, "host-2", None, ("v1", "v1.1"), ("v1",)),
    OriginReply(7, "host-2", None, ("v1", "v1.1")),
]
VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
)


@pytest.mark.parametrize("message", MESSAGES)
def test_message_survives_encoding(message: OriginMessage) -> None:
    fields = parse_datagram(encode_origin_message(message))
    assert is_origin_message(fields[0])
    assert decode_origin_message(fields) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_hosts_without_these_messages_drop_them(message: OriginMessage) -> None:
    data = encode_origin_message(message)
    kind = parse_datagram(data)[0]
    assert not is_load_message(kind)
    assert not is_limit_message(kind)
    assert not is_crash_report(kind)
    with pytest.raises(BeatError):
        decode_heartbeat(data)


@given(
    strategies.lists(VALUES | strategies.lists(VALUES, max_size=4), max_size=5),
    strategies.integers(ORIGIN_REPORT, ORIGIN_REPORT + 3),
)
def test_invalid_fields_are_rejected(fields: list[object], kind: int) -> None:
    try:
        decode_origin_message([kind, *fields])
    except MessageError:
        return
