"""
Targets that pause, break off, fail or refuse as a script says that is drawn for each request.

All targets of one ``ScriptedTargets`` share its record of runs. An answer is a list of
pieces; a pause comes before a piece, so also within an event or a body::

    targets = ScriptedTargets(seed=1)
    await targets.add(site, "east-a")
    targets.runs["r1"][0].ended_at
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import trio

from .pausing_target import ONCE, RESUMABLE, STREAM_HEAD
from .site import write_chunk

if TYPE_CHECKING:
    from .site import Seen, Site

EVENTS = 5
PAUSE_S = (0.05, 1.2)
# Mean number of pauses in an answer, and the highest probability of one before a piece.
PAUSES = 1.2
MAX_PAUSE_SHARE = 0.4
# Time between two pieces without a pause.
PIECE_S = 0.005
COMMENT = b": comment\n\n"
# Probability of a comment before an event.
COMMENT_SHARE = 0.1
# Probability that an answer has no length and ends with its connection.
UNFRAMED_SHARE = 0.4
UNFRAMED_HEAD = STREAM_HEAD.replace("Transfer-Encoding: chunked", "Connection: close")
# An answer's text is long enough that two answers can be mixed.
TEXT_REPEATS = 40
CHUNK_END = b"0\r\n\r\n"
# Closes a connection with a reset.
RESET_AT_ONCE = struct.pack("ii", 1, 0)


class Ending(Enum):
    """How a target ends a run; a request that it refuses doesn't run."""

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"
    FAILED = "failed"
    REFUSED = "refused"


BREAKS = (Ending.CLOSED, Ending.RESET)
ENDING_WEIGHTS = {
    Ending.WHOLE: 66,
    Ending.CLOSED: 10,
    Ending.RESET: 8,
    Ending.FAILED: 8,
    Ending.REFUSED: 8,
}


@dataclass(frozen=True)
class Script:
    """
    The pieces of an answer, the pause before each, and where and how it ends.

    A stream goes on after the event numbered ``after``. The connection ends with an answer
    that isn't ``framed``.
    """

    ending: Ending
    pieces: tuple[bytes, ...]
    pauses_s: tuple[float, ...]
    body: bytes
    after: int
    framed: bool


@dataclass
class Run:
    """
    A request at one target, in seconds of the loop's clock.

    ``ended_at`` is when the target ended its answer or broke it off, ``closed_at`` when
    it saw the end of its connection before. ``event_times`` are those at which events
    were sent completely.
    """

    target: str
    arrived_at: float
    script: Script
    event_times: list[float] = field(default_factory=list)
    ended_at: float | None = None
    closed_at: float | None = None

    @property
    def events(self) -> list[tuple[float, int]]:
        """When each event was sent, and its number."""
        after = self.script.after
        return [(at, after + n + 1) for n, at in enumerate(self.event_times)]

    @property
    def may_have_run(self) -> bool:
        """Whether the target began to work on the request."""
        return self.script.ending is not Ending.REFUSED


def write_event(request_id: str, number: int, run: str = "") -> bytes:
    """Return one event of a stream; ``run`` names the run of one that isn't resumable."""
    return f"id: {number}\ndata: {request_id} {number} {run}\n\n".encode()


def write_stream(request_id: str, run: str = "") -> bytes:
    """Return a whole stream without comments."""
    return b"".join(write_event(request_id, n + 1, run) for n in range(EVENTS))


class ScriptedTargets:
    """State: the runs at all targets, by the id of the request."""

    def __init__(self, seed: int) -> None:
        self.runs: dict[str, list[Run]] = {}
        self._seed = seed

    async def add(self, site: Site, zone: str) -> None:
        """Start a target of the service ``books``."""
        name = f"target-{len(site.targets)}"

        async def behave(seen: Seen, stream: trio.SocketStream) -> None:
            await self._serve(name, seen, stream)

        await site.add_target("books", behave, zone=zone, slots=64)

    async def _serve(self, target: str, seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        runs = self.runs.setdefault(request_id, [])
        script = draw_script(self._seed, seen, len(runs))
        run = Run(target, trio.current_time(), script)
        runs.append(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_end, run, stream, nursery.cancel_scope)
            await _play(run, stream)
            nursery.cancel_scope.cancel()
        if run.closed_at is not None:
            stream.socket.close()
        elif script.ending in BREAKS or not script.framed:
            if script.ending is Ending.RESET:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE
                )
            stream.socket.close()


async def _watch_end(
    run: Run, stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Stop a run once the other side has closed the connection."""
    try:
        data = await stream.receive_some(1)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        data = b""
    assert not data, "a request was sent before the answer to the one before"
    run.closed_at = trio.current_time()
    scope.cancel()


async def _play(run: Run, stream: trio.SocketStream) -> None:
    script = run.script
    last = len(script.pieces) - 1
    try:
        for at, (piece, pause_s) in enumerate(
            zip(script.pieces, script.pauses_s, strict=True)
        ):
            await trio.sleep(pause_s or PIECE_S)
            if at == last:
                run.ended_at = trio.current_time()
            if piece:
                await stream.send_all(piece)
            if piece.endswith((b"\n\n\r\n", b"\n\n")):
                run.event_times.append(trio.current_time())
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        run.closed_at = trio.current_time()


def draw_script(seed: int, seen: Seen, number: int) -> Script:
    """Return the script of a request that was sent to ``number`` targets before."""
    request_id = seen.headers["request-id"]
    random = Random(f"{seed}/{request_id}/{number}")
    ending = random.choices(list(ENDING_WEIGHTS), list(ENDING_WEIGHTS.values()))[0]
    run = f"run {number}"
    after = int(seen.headers.get("last-event-id", "0"))
    framed = random.random() >= UNFRAMED_SHARE
    if ending is Ending.REFUSED:
        body = b""
        pieces = _write_text(request_id, "503 X\r\nNot-Executed: 1", body, framed)
    elif ending is Ending.FAILED:
        body = f"{request_id} failed in {run}".encode()
        status = "500 X\r\nResponse-Signature: s"
        pieces = _write_text(request_id, status, body, framed)
    elif seen.target.startswith((RESUMABLE, ONCE)):
        named = run if seen.target.startswith(ONCE) else ""
        body = write_stream(request_id, named)
        pieces = _write_stream_pieces(random, request_id, after, named, framed)
    else:
        body = f"{request_id} answered in {run}\n".encode() * TEXT_REPEATS
        status = "200 X\r\nResponse-Signature: s"
        pieces = _write_text(request_id, status, body, framed)
    if ending in BREAKS:
        # The connection ends in place of a piece.
        pieces = [*pieces[: random.randrange(len(pieces))], b""]
        if not framed and not _shows_its_break(seen, pieces):
            # A closed connection would end the answer properly.
            ending = Ending.RESET
    share = min(MAX_PAUSE_SHARE, PAUSES / len(pieces))
    pauses_s = tuple(
        random.uniform(*PAUSE_S) if random.random() < share else 0.0 for _ in pieces
    )
    return Script(ending, tuple(pieces), pauses_s, body, after, framed)


def _shows_its_break(seen: Seen, pieces: list[bytes]) -> bool:
    """Whether a stream without framing ends before its events, or within one."""
    is_stream = seen.target.startswith((RESUMABLE, ONCE))
    return is_stream and (len(pieces) <= 2 or not pieces[-2].endswith(b"\n"))


def _write_text(request_id: str, status: str, body: bytes, framed: bool) -> list[bytes]:
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n"
    head += f"Content-Length: {len(body)}" if framed else "Connection: close"
    middle = len(body) // 2
    parts = [f"{head}\r\n\r\n".encode(), body[:middle], body[middle:]]
    return [*(part for part in parts if part), *([] if framed else [b""])]


def _write_stream_pieces(
    random: Random, request_id: str, after: int, run: str, framed: bool
) -> list[bytes]:
    """Return a stream after an event, each event and comment in two parts."""
    write = write_chunk if framed else bytes
    head = STREAM_HEAD if framed else UNFRAMED_HEAD
    pieces = [head.format(request_id).encode()]
    for number in range(after + 1, EVENTS + 1):
        if random.random() < COMMENT_SHARE:
            comment = write(COMMENT)
            pieces += [comment[:-1], comment[-1:]]
        event = write(write_event(request_id, number, run))
        cut = random.randrange(1, len(event) - 5)
        pieces += [event[:cut], event[cut:]]
    return [*pieces, CHUNK_END if framed else b""]
