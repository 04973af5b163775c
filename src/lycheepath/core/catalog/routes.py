"""
Finds the route of a request by host name and longest path prefix.

The cost of a look-up grows with the depth of the path, not with the number of
routes::

    table = RouteTable(configuration)
    route = table.match("books.example", "/drafts/2/page")
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .teams import TeamTable

if TYPE_CHECKING:
    from random import Random

    from .model import Configuration, Route
    from .teams import Team


class RouteTable:
    """
    The routes of one configuration, by host name and prefix, and its teams.

    ``teams`` is None if the configuration doesn't know teams.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        teams = configuration.teams
        self.teams = None if teams is None else TeamTable(teams)
        self._bound: dict[tuple[str, str, str], Route | Absent] = {}
        self._by_host: dict[str, dict[str, Route]] = {}
        self._homes: dict[str, Counter[str]] = {}
        self._highest_priority: dict[str, int] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
            self._homes.setdefault(route.host, Counter()).update(route.home_regions)
            for share in route.services:
                known = self._highest_priority.get(share.service, route.urgency)
                self._highest_priority[share.service] = min(known, route.urgency)
        for team in teams or ():
            if team.urgency is not None:
                for service, known in self._highest_priority.items():
                    self._highest_priority[service] = min(known, team.urgency)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, or None."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.find("?")
        end = path.rfind("/", 0, len(path) if end < 0 else end)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def bind(self, route: Route, team: Team) -> Route | Absent:
        """
        Return a route as it is for a team's requests, or why it can't serve them.

        The team's priority takes precedence; the homes of both bind.
        """
        key = (route.host, route.prefix, team.name)
        bound = self._bound.get(key)
        if bound is None:
            bound = self._bound[key] = _bind(route, team)
        return bound

    def home_regions(self, host: str) -> frozenset[str]:
        """
        Return the home regions shared by most routes of a host name.

        Empty if none of its routes is bound to regions.
        """
        homes = self._homes.get(host, Counter())
        most = max(homes.values(), default=0)
        return frozenset(region for region, count in homes.items() if count == most)

    def highest_priority(self, service: str, priority: int) -> int:
        """Return the highest priority among a service's routes and ``priority``."""
        return min(priority, self._highest_priority.get(service, priority))


def _bind(route: Route, team: Team) -> Route | Absent:
    homes = route.home_regions or team.home_regions
    if route.home_regions and team.home_regions:
        homes = route.home_regions & team.home_regions
        if not homes:
            return Absent(
                Reason.RESIDENCY,
                detail=f"the route and team {team.name} have no home region in common",
            )
    urgency = route.urgency if team.urgency is None else team.urgency
    return replace(route, urgency=urgency, home_regions=homes)


def draw_service(route: Route, random: Random) -> str:
    """Return a service of the route, drawn at random by weight."""
    shares = route.services
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = random.random() * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
