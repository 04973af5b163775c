"""A target that restarts under its id or becomes cold, and says so in its answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11
import orjson
import trio

from lycheepath.platform.targets import REPORT_PATH

from .requests import read_request
from .site import FakeTarget

if TYPE_CHECKING:
    from .site import Site

HEALTH_PATH = "/healthz"


@dataclass
class ColdTarget(FakeTarget):
    """
    A target that is cold until ``cold_until``, on the clock of the event loop.

    While it is ``down`` it resets connections. ``arrivals`` are the times of requests,
    health checks included.
    """

    born: int = 1_000
    cold_until: float = float("-inf")
    down: bool = False
    checks: int = 0
    arrivals: list[float] = field(default_factory=list)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            while not self.down:
                seen = await read_request(h11.Connection(h11.SERVER), stream)
                if seen is None or self.down:
                    return
                if seen.target == REPORT_PATH:
                    await _answer(stream, orjson.dumps({"born": self.born}))
                    continue
                self.arrivals.append(trio.current_time())
                if seen.target == HEALTH_PATH:
                    self.checks += 1
                    await _answer(stream, b"", *self._list_health())
                else:
                    self.seen.append(seen)
                    await self.behaviour(seen, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            stream.socket.close()

    def restart(self, cold_s: float) -> None:
        """Start again under the same id, with nothing of before, and cold."""
        self.born += 1_000
        self.cold_until = trio.current_time() + cold_s
        self.down = False

    def count_most_within_second(self) -> int:
        """Return the most arrivals in any second in which the target was cold."""
        times = [at for at in self.arrivals if at < self.cold_until]
        return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)

    def _list_health(self) -> list[str]:
        left_s = self.cold_until - trio.current_time()
        headers = [f"Instance-Id: {self.id}"]
        return headers + ([f"Cold-Ms: {int(left_s * 1000)}"] if left_s > 0.0 else [])


async def add_cold_targets(
    site: Site, count: int, behaviour: object
) -> list[ColdTarget]:
    """Start targets of a service in one zone and write their entries."""
    targets = []
    for number in range(count):
        target = ColdTarget(f"i-{number}", "books", "east-a", "", behaviour)
        target.address = await site.listen(target.serve)
        site.announce(target, born=target.born)
        targets.append(target)
    return targets


async def _answer(stream: trio.SocketStream, body: bytes, *headers: str) -> None:
    lines = ["HTTP/1.1 200 X", f"Content-Length: {len(body)}", *headers, "", ""]
    await stream.send_all("\r\n".join(lines).encode() + body)
