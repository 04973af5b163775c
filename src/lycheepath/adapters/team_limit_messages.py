"""
Messages between hosts on the limits of teams, as datagrams of JSON.

A ``LimitQuery`` asks the coordinator of a team for tokens; the ``LimitReply`` grants a
lease or denies. A ``DemandReport`` tells the coordinators of other regions how much is
requested here, and the first coordinator of the region what others have granted in its
place. Hosts of versions without these messages drop them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import read_name, read_number, read_serial
from ..core.limits.fleet_limits import TokenGrant, TokenQuery
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram.
LIMIT_QUERY, LIMIT_REPLY, DEMAND_REPORT = 52, 53, 54
# Largest number of tokens in a message.
MAX_TOKENS = 1e12


@dataclass(frozen=True, slots=True)
class LimitQuery:
    """A host's query for tokens of a team."""

    number: int
    host: str
    team: str
    query: TokenQuery


@dataclass(frozen=True, slots=True)
class LimitReply:
    """The coordinator's answer to the query with a number."""

    number: int
    host: str
    grant: TokenGrant


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """
    The demand for a team in a region, in tokens per second.

    ``granted`` is the sum of the tokens that the reporting host has granted, so that a lost
    report is made up for by the next.
    """

    team: str
    demand: float
    granted: float = 0.0


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand for the teams that a host coordinates in its region."""

    host: str
    region: str
    demands: tuple[TeamDemand, ...]


TeamLimitMessage = LimitQuery | LimitReply | DemandReport


def encode_team_limit_message(message: TeamLimitMessage) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, LimitQuery):
        query = message.query
        amounts = (
            query.cost,
            query.need,
            query.demand,
            query.charge,
            query.unused,
            query.waiting,
        )
        fields = [round(each, 1) for each in amounts]
        named = [LIMIT_QUERY, message.number, message.host, message.team]
        return orjson.dumps([*named, *fields, round(query.share, 4)])
    if isinstance(message, LimitReply):
        grant = message.grant
        fields = [round(grant.tokens, 1), round(grant.wait_s, 4), round(grant.share, 4)]
        return orjson.dumps([LIMIT_REPLY, message.number, message.host, *fields])
    demands = [
        [each.team, round(each.demand, 1), round(each.granted, 1)]
        for each in message.demands
    ]
    return orjson.dumps([DEMAND_REPORT, message.host, message.region, demands])


def decode_team_limit_message(fields: list[Any]) -> TeamLimitMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_team_limit_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a message on teams' limits."""
    return kind in (LIMIT_QUERY, LIMIT_REPLY, DEMAND_REPORT)


def _decode_query(fields: list[Any]) -> LimitQuery:
    number, host, team, cost, need, demand, charge, unused, waiting, share = fields
    query = TokenQuery(
        cost=_read_tokens(cost),
        need=_read_tokens(need),
        demand=_read_tokens(demand),
        charge=_read_tokens(charge),
        unused=_read_tokens(unused),
        share=read_number(share, 0.0, 1.0),
        waiting=_read_tokens(waiting),
    )
    return LimitQuery(read_serial(number), read_name(host), read_name(team), query)


def _decode_reply(fields: list[Any]) -> LimitReply:
    number, host, tokens, wait_s, share = fields
    grant = TokenGrant(
        _read_tokens(tokens),
        read_number(wait_s, 0.0),
        read_number(share, 0.0, 1.0),
    )
    return LimitReply(read_serial(number), read_name(host), grant)


def _decode_report(fields: list[Any]) -> DemandReport:
    host, region, demands = fields
    return DemandReport(
        read_name(host),
        read_name(region),
        tuple(
            TeamDemand(read_name(team), _read_tokens(demand), _read_tokens(granted))
            for team, demand, granted in demands
        ),
    )


def _read_tokens(value: Any) -> float:
    return read_number(value, 0.0, MAX_TOKENS)


_DECODERS: dict[Any, Callable[[list[Any]], TeamLimitMessage]] = {
    LIMIT_QUERY: _decode_query,
    LIMIT_REPLY: _decode_reply,
    DEMAND_REPORT: _decode_report,
}
