"""
Gateways that run as processes of their own, beside a site in the event loop that starts them.

They can be stopped and resumed as the operating system does it, and their settings and log
lines are kept in a directory. Another process that sends requests reads the hosts'
addresses from there::

    async with run_hosts(site, tmp_path, ["east-a", "west-a"]) as hosts:
        await hosts[0].stand_still(1.3)
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

from .processes import ROOT, Process, launch_process, require_running
from .site import PORTS, Site, draw_network, make_settings, read_answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from pathlib import Path

    from lycheepath.gateway.settings import GatewaySettings

# Time in which each host is ready, once those before it are.
READY_S = 10.0
POLL_S = 0.05
# Time in which started hosts hear of each other.
MEET_S = 1.0
READY_QUESTION = b"GET /lycheepath/readyz HTTP/1.1\r\nHost: x\r\n\r\n"


class Host(Protocol):
    """A gateway that requests are sent to, in this process or in another."""

    @property
    def settings(self) -> GatewaySettings:
        """The settings, which have its addresses."""


@dataclass(frozen=True)
class RemoteHost:
    """A gateway that another process has started."""

    settings: GatewaySettings


@dataclass(frozen=True)
class HostProcess:
    """A gateway that runs as a process, and its settings."""

    settings: GatewaySettings
    process: Process

    async def stand_still(self, silent_s: float) -> None:
        """Stop the process for a time."""
        self.process.stop()
        try:
            await trio.sleep(silent_s)
        finally:
            self.process.resume()


def read_hosts(directory: Path) -> list[RemoteHost]:
    """Return the gateways whose settings files are in a directory."""
    paths = sorted(directory.glob("host-*.json"))
    return [RemoteHost(read_settings(path.read_bytes())) for path in paths]


def launch_host(name: str, directory: Path, checkout: Path = ROOT) -> HostProcess:
    """Start the gateway whose settings file is in a directory, without waiting for it."""
    path = directory / f"{name}.json"
    arguments = ["-m", "lycheepath", "gateway", "--settings", str(path)]
    process = launch_process(name, arguments, directory, checkout)
    return HostProcess(read_settings(path.read_bytes()), process)


@asynccontextmanager
async def run_hosts(
    site: Site,
    directory: Path,
    zones: Sequence[str],
    checkout: Path = ROOT,
    meet_s: float = MEET_S,
) -> AsyncIterator[list[HostProcess]]:
    """
    Run a gateway in each of the zones; they are ready, and end with the block.

    Raises ``trio.TooSlowError`` if they aren't ready in time, ``ProcessEndedError`` if
    one ends before. A host that takes the place of another in the list ends with the
    block, too.
    """
    network = draw_network()
    hosts: list[HostProcess] = []
    try:
        for number, zone in enumerate(zones, start=1):
            name, ip = f"host-{number}", f"{network}.{number}"
            fields = make_settings(name, ip, zone, site.store.address)
            fields["seeds"] = [f"{network}.1:{PORTS['control']}"]
            (directory / f"{name}.json").write_bytes(orjson.dumps(fields))
            hosts.append(launch_host(name, directory, checkout))
        for host in hosts:
            with trio.fail_after(READY_S):
                await wait_until_ready(host)
        await trio.sleep(meet_s)
        yield hosts
    finally:
        with trio.CancelScope(shield=True):
            for host in hosts:
                await host.process.kill()


async def wait_until_ready(host: HostProcess) -> None:
    """Wait until a gateway is ready; raises ``ProcessEndedError`` if it ends before."""
    while True:
        require_running(host.process)
        try:
            address = host.settings.ip, PORTS["ready"]
            async with await trio.open_tcp_stream(*address) as stream:
                await stream.send_all(READY_QUESTION)
                if (await read_answer(stream)).status == 200:
                    return
        except OSError:
            pass
        await trio.sleep(POLL_S)
