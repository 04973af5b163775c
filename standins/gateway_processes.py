"""
Gateways as processes of their own, for loads that one event loop can't play.

The store and the targets run in the event loop that starts them. A process that sends
requests reads the hosts' addresses from their settings files::

    async with run_gateways(site.store.address, 6, directory) as processes:
        ...
    hosts = read_hosts(directory)
    answer = await site.ask(hosts[0], b"GET", "/books/1")
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import orjson
import trio

from lycheepath.platform.settings import read_settings

from .processes import Process, launch_process, require_running
from .site import PORTS, draw_network, make_settings, read_answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from lycheepath.gateway.settings import GatewaySettings

READY_WITHIN_S = 20.0
# Time until hosts that are ready have heard of each other.
SETTLE_S = 3.0
POLL_S = 0.05


class Host(Protocol):
    """A gateway that requests are sent to, in this process or in another."""

    @property
    def settings(self) -> GatewaySettings:
        """The settings, which have its addresses."""


@dataclass(frozen=True)
class RemoteHost:
    """A gateway that runs in another process."""

    settings: GatewaySettings


def read_hosts(directory: Path) -> list[RemoteHost]:
    """Return the gateways whose settings files are in a directory."""
    paths = sorted(directory.glob("host-*.json"))
    return [RemoteHost(read_settings(path.read_bytes())) for path in paths]


@asynccontextmanager
async def run_gateways(
    store: str, count: int, directory: Path, zone: str = "east-a"
) -> AsyncIterator[list[Process]]:
    """
    Run gateways that know each other; settings and logs are kept in ``directory``.

    Raises ``trio.TooSlowError`` if they aren't ready in time, ``ProcessEndedError`` if
    one ends before.
    """
    network = draw_network()
    processes: list[Process] = []
    try:
        for number in range(count):
            name, ip = f"host-{number}", f"{network}.{number + 1}"
            fields = make_settings(name, ip, zone, store)
            fields["seeds"] = [f"{network}.1:{PORTS['control']}"]
            settings = directory / f"{name}.json"
            settings.write_bytes(orjson.dumps(fields))
            arguments = ["-m", "lycheepath", "gateway", "--settings", str(settings)]
            processes.append(launch_process(name, arguments, directory))
        with trio.fail_after(READY_WITHIN_S):
            for number, process in enumerate(processes):
                await _wait_until_ready(process, f"{network}.{number + 1}")
        await trio.sleep(SETTLE_S)
        yield processes
    finally:
        for process in processes:
            process.terminate()
        with trio.CancelScope(shield=True):
            for process in processes:
                await process.kill()


async def _wait_until_ready(process: Process, ip: str) -> None:
    request = b"GET /lycheepath/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
    while True:
        require_running(process)
        try:
            async with await trio.open_tcp_stream(ip, PORTS["ready"]) as stream:
                await stream.send_all(request)
                if (await read_answer(stream)).status == 200:
                    return
        except OSError:
            pass
        await trio.sleep(POLL_S)
