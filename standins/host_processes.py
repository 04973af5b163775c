"""
Gateways that run as processes of their own, beside a site in the test's event loop.

They can be stopped and resumed as the operating system does it, and their log lines are
kept::

    hosts = await start_hosts(site, tmp_path, ["east-a", "west-a"])
    await hosts[0].stand_still(1.3)
    await end_hosts(hosts)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson
import trio

from lycheepath.platform.settings import read_settings

from .processes import ROOT, Process, launch_process
from .site import PORTS, Site, draw_network, make_settings, read_answer

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from lycheepath.gateway.settings import GatewaySettings

READY_S = 10.0
POLL_S = 0.05
# Time in which started hosts hear of each other.
MEET_S = 1.0
READY_QUESTION = b"GET /lycheepath/readyz HTTP/1.1\r\nHost: x\r\n\r\n"


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


async def start_hosts(
    site: Site, directory: Path, zones: Sequence[str], checkout: Path = ROOT
) -> list[HostProcess]:
    """Start a gateway in each of the zones; return them once all are ready."""
    network = draw_network()
    hosts = []
    for number, zone in enumerate(zones, start=1):
        name = f"host-{number}"
        fields = make_settings(name, f"{network}.{number}", zone, site.store.address)
        fields["seeds"] = [f"{network}.1:{PORTS['control']}"]
        path = directory / f"{name}.json"
        path.write_bytes(orjson.dumps(fields))
        arguments = ["-m", "lycheepath", "gateway", "--settings", str(path)]
        process = launch_process(name, arguments, directory, checkout)
        hosts.append(HostProcess(read_settings(path.read_bytes()), process))
    try:
        for host in hosts:
            await wait_until_ready(host.settings.ip)
        await trio.sleep(MEET_S)
    except BaseException:
        await end_hosts(hosts)
        raise
    return hosts


async def end_hosts(hosts: Sequence[HostProcess]) -> None:
    """End processes at once."""
    with trio.CancelScope(shield=True):
        for host in hosts:
            await host.process.kill()


async def wait_until_ready(ip: str) -> None:
    """Wait until a gateway reports that it is ready."""
    with trio.fail_after(READY_S):
        while True:
            try:
                async with await trio.open_tcp_stream(ip, PORTS["ready"]) as stream:
                    await stream.send_all(READY_QUESTION)
                    if (await read_answer(stream)).status == 200:
                        return
            except OSError:
                pass
            await trio.sleep(POLL_S)
