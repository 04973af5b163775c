from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from hypothesis import given, strategies

from lycheepath.core.catalog.model import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from lycheepath.core.catalog.routes import RouteTable, draw_service


def make_route(
    prefix: str, *shares: ServiceShare, host: str = "books.example"
) -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RouteKind.SAFE,
        services=shares or (ServiceShare("books", 1.0),),
        timeout_s=1.0,
        aim_s=0.4,
        gap_aim_s=0.0,
        urgency=0,
        max_attempts=2,
        resumable=False,
        home_regions=frozenset(),
    )


def make_table(*prefixes: str) -> RouteTable:
    routes = tuple(make_route(prefix) for prefix in prefixes)
    return RouteTable(Configuration(1, routes, {}, CallerLimits()))


def test_table_matches_the_longest_prefix() -> None:
    table = make_table("/a/", "/a/b/", "/")
    found = [
        route.prefix if (route := table.match("books.example", path)) else None
        for path in ("/a/b/c", "/a/bc", "/a/b", "/x", "/a/?q=/a/b/")
    ]
    assert found == ["/a/b/", "/a/", "/a/", "/", "/a/"]


def test_table_has_no_route_of_another_host() -> None:
    assert make_table("/").match("other.example", "/") is None


@given(strategies.lists(strategies.sampled_from("ab/"), max_size=12))
def test_table_agrees_with_a_linear_search(path: list[str]) -> None:
    prefixes = ("/a/", "/a/b/", "/b/a/a/", "/b/")
    text = "/" + "".join(path)
    fitting = [prefix for prefix in prefixes if text.startswith(prefix)]
    route = make_table(*prefixes).match("books.example", text)
    assert (route.prefix if route else None) == max(fitting, key=len, default=None)


def test_draw_service_follows_the_weights() -> None:
    route = make_route("/", ServiceShare("old", 90.0), ServiceShare("new", 10.0))
    drawn = Counter(draw_service(route, random.Random(seed)) for seed in range(2000))
    assert 120 < drawn["new"] < 280


def test_home_regions_of_a_host_name_are_those_of_most_of_its_routes() -> None:
    homes = [frozenset({"east", "west"}), frozenset({"west"}), frozenset[str]()]
    routes = tuple(
        replace(make_route(f"/{number}/"), home_regions=regions)
        for number, regions in enumerate(homes)
    )
    free = make_route("/", host="free.example")
    table = RouteTable(Configuration(1, (*routes, free), {}, CallerLimits()))
    assert table.home_regions("books.example") == {"west"}
    assert table.home_regions("free.example") == frozenset()
    assert table.home_regions("unknown.example") == frozenset()


def test_table_returns_the_highest_priority_of_each_service() -> None:
    pool, books = ServiceShare("pool", 0.5), ServiceShare("books", 0.5)
    routes = (
        replace(make_route("/a/", pool, books), urgency=2),
        replace(make_route("/b/", pool), urgency=1),
    )
    table = RouteTable(Configuration(1, routes, {}, CallerLimits()))
    assert table.highest_priority("pool", 4) == 1
    assert table.highest_priority("books", 4) == 2
    assert table.highest_priority("pool", 0) == 0
    assert table.highest_priority("other", 3) == 3
