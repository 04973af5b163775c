from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.heartbeats import BeatError, decode_heartbeat, parse_datagram
from lycheepath.adapters.limit_messages import (
    LIMIT_REPORT,
    PERMIT_QUERY,
    LimitMessage,
    LimitReport,
    PermitQuery,
    PermitReply,
    decode_limit_message,
    encode_limit_message,
    is_limit_message,
)
from lycheepath.adapters.load_messages import MessageError, is_load_message
from lycheepath.core.placement.rate_limit import LimitStatement

LIMITED = LimitStatement("i-1", 7, 2.5, 0.25)
OPEN = LimitStatement("i-2", 0, None, 3.0)
MESSAGES = [
    LimitReport("host-1", (LIMITED, OPEN)),
    PermitQuery(4, "host-1", LIMITED),
    PermitReply(4, "host-2", 0.125, OPEN),
]
VALUES = strategies.one_of(
    strategies.none(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
)


@pytest.mark.parametrize("message", MESSAGES)
def test_message_survives_encoding(message: LimitMessage) -> None:
    fields = parse_datagram(encode_limit_message(message))
    assert is_limit_message(fields[0])
    assert decode_limit_message(fields) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_hosts_without_these_messages_drop_them(message: LimitMessage) -> None:
    data = encode_limit_message(message)
    assert not is_load_message(parse_datagram(data)[0])
    with pytest.raises(BeatError):
        decode_heartbeat(data)


@given(
    strategies.lists(VALUES | strategies.lists(VALUES, max_size=5), max_size=5),
    strategies.integers(LIMIT_REPORT, LIMIT_REPORT + 3),
)
def test_invalid_fields_are_rejected(fields: list[object], kind: int) -> None:
    try:
        decode_limit_message([kind, *fields])
    except MessageError:
        return


def test_infinite_number_is_rejected() -> None:
    with pytest.raises(MessageError):
        decode_limit_message(
            [PERMIT_QUERY, float("inf"), "host-1", ["i-1", 0, 1.0, 0.0]]
        )


@pytest.mark.parametrize("rate", [0.0, -1.0, float("nan")])
def test_limit_that_is_not_positive_is_rejected(rate: float) -> None:
    with pytest.raises(MessageError):
        decode_limit_message([LIMIT_REPORT, "host-1", [["i-1", 0, rate, 1.0]]])
