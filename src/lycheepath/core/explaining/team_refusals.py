"""
Reasons of refusals for a key, a team or the time that an answer takes.

Hosts log them in the field ``reason`` of ``refused`` lines. Names of teams and times
stand within them, so they are recognized by patterns.
"""

from __future__ import annotations

import re

from ..teams.authorization import DETAILS, Denial


def _match_denials(*denials: Denial) -> re.Pattern[str]:
    return re.compile("|".join(re.escape(DETAILS[denial]) for denial in denials))


WRONG_KEY = _match_denials(Denial.NO_KEY, Denial.MALFORMED_KEY, Denial.UNKNOWN_KEY)
VIEW_UNPROVEN = _match_denials(Denial.VIEW_UNPROVEN)
UNKNOWN_TEAM = _match_denials(Denial.UNKNOWN_TEAM)
NO_HOME = re.compile("the route and team .+ have no home region in common", re.DOTALL)
AT_LIMIT = re.compile("team .+ is at its limit", re.DOTALL)
LIMIT_UNKNOWN = re.compile("the use of team .+'s limit isn't known", re.DOTALL)
OVER_SHARE = re.compile(
    "team .+ is over its share of a service that is short of room", re.DOTALL
)
NO_TIME = re.compile(r"end expected \S+ s after the deadline")
# What explains a refusal further, where its own line doesn't.
NEXT_STEPS = (
    (
        WRONG_KEY,
        "compare the version of this line with the one that added or removed the key",
    ),
    (
        VIEW_UNPROVEN,
        "see view-unproven, store-lost and host-silent lines of this host",
    ),
    (
        UNKNOWN_TEAM,
        "compare the version of the host that relayed it with that of this one",
    ),
    (
        NO_HOME,
        "compare the home regions of the route and of the team in the configuration",
    ),
    (
        AT_LIMIT,
        "see team-limit-denied lines of all hosts, and team_tokens_total",
    ),
    (
        LIMIT_UNKNOWN,
        "the team's coordinator in the region didn't answer; see held-up and"
        " host-silent lines of the region's hosts",
    ),
    (
        OVER_SHARE,
        "the service was short of capacity; see refusals of other teams in the 2 s before",
    ),
    (
        NO_TIME,
        "compare the deadline with the length of the answer, and expected_s of placed"
        " lines",
    ),
)


def find_next_step(reason: str) -> str:
    """Return where to look next for a refusal with a reason, or an empty text."""
    found = (step for pattern, step in NEXT_STEPS if pattern.fullmatch(reason))
    return next(found, "")
