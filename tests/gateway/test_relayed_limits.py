"""
Requests that are relayed between hosts with different configurations.

A host that is out of step has other limits than the one that has read the request.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.catalog.routes import RouteTable
from lycheepath.gateway import listeners
from standins.site import answer_text, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from standins.site import Site

SMALL_BYTES = 2000
BODY = b"x" * 4 * SMALL_BYTES
LONG_HEADER = {"deadline-ms": "2000", "x-long": "y" * 4 * SMALL_BYTES}


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("long", ["head", "body"])
async def test_limits_of_an_older_configuration_refuse_no_relayed_request(
    site: Site, kind: str, long: str
) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", kind))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    assert west.catalog.routes is not None
    configuration = west.catalog.routes.configuration
    limits = replace(
        configuration.limits, head_bytes=SMALL_BYTES, body_bytes=SMALL_BYTES
    )
    west.catalog.routes = RouteTable(replace(configuration, limits=limits))
    body, headers = (BODY, None) if long == "body" else (b"x", LONG_HEADER)
    answer = await site.ask(east, b"POST", "/books/1", body, headers=headers)
    assert (answer.status, answer.body) == (200, b"done")
    assert len(target.seen) == 1


async def test_refusal_of_another_host_is_not_taken_for_the_targets_answer(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe"), max_body_bytes=SMALL_BYTES)
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    monkeypatch.setattr(listeners, "MIN_HOST_BODY_BYTES", 0)
    assert west.catalog.routes is not None
    configuration = west.catalog.routes.configuration
    limits = replace(configuration.limits, body_bytes=10)
    west.catalog.routes = RouteTable(replace(configuration, limits=limits))
    answer = await site.ask(east, b"POST", "/books/1", BODY[: SMALL_BYTES // 2])
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not target.seen
