"""Residency rules, forwarding loops and partitioned regions."""

from __future__ import annotations

import time
from hashlib import sha256
from typing import TYPE_CHECKING

import httpx
import trio

from lycheepath.adapters.http.gate import RequestHead
from lycheepath.adapters.http.signatures import PASSED_HEADER, sign_request
from lycheepath.core.environment.model import ResidencyRule
from lycheepath.host.settings import PeerKey
from standins.caller import Kind, build_messages
from standins.fleet import PEER_KEY

from .links import Links

if TYPE_CHECKING:
    from standins.fleet import Fleet

BOUND_TEAM = "brewers"
RULES = (
    ResidencyRule("bound-to-accra", "accra", teams=(BOUND_TEAM,)),
    ResidencyRule("bound-model", "accra", models=("m2",)),
)


async def start_regions(fleet: Fleet) -> Links:
    """Start two hosts and two engines in each of two regions."""
    for region in ("accra", "kumasi"):
        for number in (1, 2):
            zone = f"{region}-a"
            fleet.add_host(f"{region}-{number}", zone)
            await fleet.start_engine(
                f"runner-{region}-{number}", zone, models=("m", "m2")
            )
        await fleet.start_service(f"lodge-{region}", f"{region}-a", "lodgement")
    fleet.caller(BOUND_TEAM)
    fleet.caller(region="kumasi")
    await fleet.publish_environment(residency=RULES)
    links = Links(fleet)
    await links.start_hosts(*fleet.hosts)
    return links


async def count_seen_requests(fleet: Fleet, region: str) -> int:
    """Return the number of requests that a region's engines have received."""
    names = (f"runner-{region}-1", f"runner-{region}-2")
    pages = [await fleet.read(name, "/control/seen") for name in names]
    return sum(len(page["seen"]) for page in pages)


async def test_bound_request_is_refused_elsewhere_before_its_body(
    fleet: Fleet,
) -> None:
    await start_regions(fleet)
    address = fleet.processes["kumasi-1"].address
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {address}\r\nAuthorization: Bearer {fleet.caller(BOUND_TEAM).key}\r\n"
        "Content-Type: application/json\r\nContent-Length: 100000\r\n\r\n"
    )
    host, port = address.split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    with trio.fail_after(5.0):
        await stream.send_all(head.encode())
        answer = b""
        async for piece in stream:
            answer += piece
    assert answer.startswith(b"HTTP/1.1 421")
    assert fleet.hosts["accra-1"].callers_address.encode() in answer
    assert await count_seen_requests(fleet, "kumasi") == 0


async def test_bound_request_fails_rather_than_leave_its_region(fleet: Fleet) -> None:
    await start_regions(fleet)
    address = fleet.processes["accra-1"].address
    caller = fleet.caller(BOUND_TEAM)
    assert (await caller.ask(address, build_messages("a"))).kind is Kind.WHOLE
    for number in (1, 2):
        await fleet.processes[f"runner-accra-{number}"].kill()
    for number in range(5):
        outcome = await caller.ask(address, build_messages(f"b{number}"))
        assert outcome.kind in (Kind.REFUSED, Kind.UNKNOWN)
    unbound = await fleet.caller().ask(address, build_messages("c"))
    assert unbound.kind is Kind.WHOLE
    assert await count_seen_requests(fleet, "kumasi") == 1


async def test_bound_model_is_found_in_the_header_before_the_body(
    fleet: Fleet,
) -> None:
    await start_regions(fleet)
    address = fleet.processes["kumasi-1"].address
    for headers in ({}, {"Lycheepath-Model": "m2"}):
        outcome = await fleet.caller().ask(
            address, build_messages("x"), model="m2", headers=headers
        )
        assert outcome.status == 421
    free = {"Lycheepath-Model": "m"}
    caller = fleet.caller(region="kumasi")
    outcome = await caller.ask(address, build_messages("x"), headers=free)
    assert outcome.kind is Kind.WHOLE
    mismatched = await caller.ask(
        address, build_messages("x"), model="m2", headers=free
    )
    assert mismatched.status == 400


async def test_host_question_keeps_a_bound_team_in_its_region(fleet: Fleet) -> None:
    await start_regions(fleet)
    address = fleet.processes["kumasi-1"].address
    hosts = await fleet.caller(BOUND_TEAM).find_hosts(address)
    assert {host["region"] for host in hosts} == {"accra"}


async def test_forwarded_request_is_never_forwarded_again(fleet: Fleet) -> None:
    await start_regions(fleet)
    address = fleet.processes["accra-1"].address
    key = PeerKey(PEER_KEY["id"], bytes.fromhex(PEER_KEY["secret"]))
    url = f"http://{address}/v1/services/lodgement/returns"
    path = "/v1/services/lodgement/returns"
    for passed, status in (
        ("accra-2,kumasi-1", 508),
        ("accra-1", 508),
        ("accra-2", 503),
    ):
        headers = {
            "authorization": f"Bearer {fleet.caller().key}",
            "idempotency-key": f"loop-{passed}",
            PASSED_HEADER: passed,
        }
        head = RequestHead("POST", path, headers)
        signed = sign_request(head, "accra-2", (key,), time.time())
        answer = await fleet.client.post(url, headers={**headers, **signed})
        assert answer.status_code == status, answer.text
        assert answer.json()["run"] == "unknown"
    forged = {"authorization": f"Bearer {fleet.caller().key}", PASSED_HEADER: "accra-2"}
    answer = await fleet.client.post(url, headers=forged)
    assert answer.status_code == 403
    assert not await fleet.count_executions()


async def test_partitioned_region_serves_its_callers_after_a_restart(
    fleet: Fleet,
) -> None:
    links = await start_regions(fleet)
    kumasi = ("kumasi-1", "kumasi-2")
    await links.cut(kumasi, ["accra-1", "accra-2", "platform"])
    await links.cut(kumasi, ["runner-accra-1", "runner-accra-2", "lodge-accra"])
    await fleet.processes["kumasi-2"].kill()
    await links.start_hosts("kumasi-2")
    for host in kumasi:
        for number in range(4):
            for region in ("accra", "kumasi"):
                outcome = await fleet.caller(region=region).ask(
                    fleet.processes[host].address,
                    build_messages(f"{host} {number}"),
                    headers={"Lycheepath-Model": "m"},
                )
                assert outcome.kind is Kind.WHOLE, outcome
        hosts = await fleet.caller(region="kumasi").find_hosts(
            fleet.processes[host].address
        )
        assert {entry["id"] for entry in hosts} == set(kumasi)


async def test_forged_peer_request_is_refused_before_the_body(fleet: Fleet) -> None:
    await start_regions(fleet)
    digest = sha256(b"nobody").hexdigest()
    async with httpx.AsyncClient() as client:
        answer = await client.get(
            f"{fleet.processes['accra-1'].url}/peer/state",
            headers={"lycheepath-peer": f"k1;accra-2;{time.time()};{digest}"},
        )
    assert answer.status_code == 403
