"""
Sound targets that send nothing for a moment and go on, and callers that ask for answers.

A paused target holds back everything on all its connections, and loses nothing. One that
serves streams goes on after ``last-event-id``::

    target = await add_pausing_target(site, "east-a")
    await target.pause(1.3)
    target.ran["r1"]
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from .site import Answer, Seen, Site, answer_text, make_route, write_chunk

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheepath.gateway.node import GatewayNode

SILENT_S = 1.3
EVENTS = 6
EVENT_S = 0.02
REQUEST_INTERVAL_S = 0.025
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# The kind of each prefix's route; only ``RESUMABLE`` may go on at another target.
SAFE, UNSAFE, RESUMABLE, ONCE = PREFIXES = (
    "/safe/",
    "/unsafe/",
    "/resumable/",
    "/once/",
)
KINDS = {SAFE: "safe", UNSAFE: "unsafe"}
HEADERS = {"deadline-ms": "5000"}
WHOLE_STREAM = "".join(f"id: {n + 1}\ndata: x\n\n" for n in range(EVENTS)).encode()
WHOLE_TEXT = b"done"


class PausingTarget:
    """
    A target that sends nothing while it is paused; ``ran`` counts runs by id.

    It works for ``event_s`` before each event of a stream, and before a whole answer.
    """

    def __init__(self, event_s: float = EVENT_S) -> None:
        self.event_s = event_s
        self.ran: Counter[str] = Counter()
        self.awake = trio.Event()
        self.awake.set()

    async def pause(self, silent_s: float = SILENT_S) -> None:
        """Send nothing for a time."""
        self.awake = trio.Event()
        await trio.sleep(silent_s)
        self.awake.set()

    async def wait_until_awake(self) -> None:
        """Wait until the target isn't paused."""
        await self.awake.wait()

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        """Answer a request, as a stream or with a text according to its prefix."""
        request_id = seen.headers.get("request-id", "")
        seen.headers["request-id"] = request_id
        await self.awake.wait()
        self.ran[request_id] += 1
        if not seen.target.startswith((RESUMABLE, ONCE)):
            await trio.sleep(self.event_s)
            await self.awake.wait()
            await answer_text(WHOLE_TEXT)(seen, stream)
            return
        await stream.send_all(STREAM_HEAD.format(request_id).encode())
        for number in range(int(seen.headers.get("last-event-id", "0")), EVENTS):
            await trio.sleep(self.event_s)
            await self.awake.wait()
            event = f"id: {number + 1}\ndata: x\n\n".encode()
            await stream.send_all(write_chunk(event))
        await stream.send_all(b"0\r\n\r\n")


async def add_pausing_target(
    site: Site,
    zone: str = "east-a",
    version: str = "v1",
    event_s: float = EVENT_S,
) -> PausingTarget:
    """Start a target of the service ``books`` that can be paused."""
    target = PausingTarget(event_s)
    added = await site.add_target(
        "books", target.behave, zone=zone, slots=64, version=version
    )
    added.awaken = target.wait_until_awake
    return target


def configure_routes(site: Site, timeout_ms: int = 5000, **fields: int) -> None:
    """Write a configuration with one route for each prefix."""
    site.configure(
        *(
            make_route(
                "books",
                KINDS.get(prefix, "streaming"),
                prefix,
                timeout_ms=timeout_ms,
                gap_aim_ms=400,
                resumable=prefix == RESUMABLE,
                **fields,
            )
            for prefix in PREFIXES
        )
    )


async def ask_steadily(
    site: Site,
    nodes: Sequence[GatewayNode],
    prefixes: Sequence[str],
    until: trio.Event,
    interval_s: float = REQUEST_INTERVAL_S,
) -> dict[str, Answer]:
    """Send requests at a steady rate until an event is set; return their answers by id."""
    answers: dict[str, Answer] = {}

    async def ask(number: int, request_id: str, prefix: str) -> None:
        node = nodes[number % len(nodes)]
        answers[request_id] = await site.ask(
            node, b"POST", f"{prefix}1", b"x", request_id, HEADERS
        )

    async with trio.open_nursery() as asking:
        number = 0
        while not until.is_set():
            prefix = prefixes[number % len(prefixes)]
            asking.start_soon(ask, number, f"{prefix}{number}", prefix)
            number += 1
            await trio.sleep(interval_s)
    return answers


def is_complete(answer: Answer) -> bool:
    """Whether an answer is a success with its whole body."""
    return (
        answer.status == 200
        and answer.whole
        and answer.body in (WHOLE_STREAM, WHOLE_TEXT)
    )
