"""
Counts what teams use, for metrics with a bounded number of series.

The teams with the most use are named, the others are counted together. No count ever
decreases: a team is counted under its name from when its use has become one of the
largest, and a team that it replaces is one of the others again::

    use = TeamUse()
    use.count_admitted("search")
    use.count_tokens("search", 1100.0)
    use.list_tokens()    # {"search": 1100.0}
"""

from __future__ import annotations

from collections import Counter

# Largest number of teams that are named.
MAX_NAMED = 32
OTHER = "other"
# Largest number of teams whose use is known; the one without use for longest is dropped.
MAX_TEAMS = 4_096
# Factor by which the use of another team has to exceed the least of the named ones, so
# that two with about the same use don't replace each other time and again.
REPLACING_FACTOR = 1.25


class TeamUse:
    """State: the use of each team, and what was counted under which name."""

    def __init__(self) -> None:
        # The sum of admitted requests and tokens, as a team may state no tokens.
        self._used: dict[str, float] = {}
        self._admitted: Counter[str] = Counter()
        self._tokens: dict[str, float] = {}

    def count_admitted(self, team: str) -> None:
        """Count a request of a team that was admitted."""
        self._admitted[self._find_name(team, 1.0)] += 1

    def count_tokens(self, team: str, tokens: float) -> None:
        """Count the tokens of a request that may have run."""
        name = self._find_name(team, tokens)
        self._tokens[name] = self._tokens.get(name, 0.0) + tokens

    def list_admitted(self) -> dict[str, float]:
        """Return the number of admitted requests by team."""
        return {name: float(count) for name, count in self._admitted.items()}

    def list_tokens(self) -> dict[str, float]:
        """Return the tokens of requests that may have run, by team."""
        return dict(self._tokens)

    def _find_name(self, team: str, use: float) -> str:
        used = self._used[team] = self._used.pop(team, 0.0) + use
        if len(self._used) > MAX_TEAMS:
            del self._used[next(iter(self._used))]
        named = (self._admitted.keys() | self._tokens.keys()) - {OTHER}
        if team in named:
            return team
        if len(named) >= MAX_NAMED:
            least = min(named, key=lambda name: self._used.get(name, 0.0))
            if used <= REPLACING_FACTOR * self._used.get(least, 0.0):
                return OTHER
            self._admitted[OTHER] += self._admitted.pop(least, 0)
            others = self._tokens.get(OTHER, 0.0)
            self._tokens[OTHER] = others + self._tokens.pop(least, 0.0)
        return team
