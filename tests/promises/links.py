"""Cuts the links between the processes of a fleet."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.processes import Process, launch_process

if TYPE_CHECKING:
    from collections.abc import Iterable

    from standins.fleet import Fleet

# Hosts re-read their list of cut links within this time.
CUT_APPLIED_S = 0.3


@dataclass
class Links:
    """The cut links of a fleet, whose hosts are started with ``launch``."""

    fleet: Fleet
    cuts: dict[str, set[str]] = field(default_factory=dict)

    async def start_hosts(self, *names: str) -> None:
        """Start hosts with links that can be cut, and wait until all are ready."""
        for name in names:
            self.launch(name)
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self.fleet.wait_ready, name)

    def launch(self, name: str) -> Process:
        """Start one host without waiting; links that are cut stay cut."""
        directory = self.fleet.directory
        settings = directory / f"{name}.json"
        settings.write_text(json.dumps(self.fleet.build_settings(name)))
        self._write(name)
        arguments = ["-m", "standins.cut_host", str(settings), str(self._path(name))]
        process = launch_process(name, arguments, directory)
        process.port = int(self.fleet.hosts[name].callers_address.rsplit(":", 1)[1])
        self.fleet.processes[name] = process
        return process

    async def cut(self, hosts: Iterable[str], others: Iterable[str]) -> None:
        """
        Cut the links from hosts to other processes; between hosts, in both directions.

        Returns once the processes have applied the cut, also to in-flight exchanges.
        """
        others = tuple(others)
        for host in hosts:
            for other in others:
                self.cut_one_way(host, other)
                if other in self.fleet.hosts:
                    self.cut_one_way(other, host)
        await trio.sleep(CUT_APPLIED_S)

    def cut_one_way(self, host: str, other: str) -> None:
        """Cut one direction: nothing that a host sends reaches the other process."""
        self.cuts.setdefault(host, set()).update(self._addresses(other))
        self._write(host)

    def heal(self) -> None:
        """Restore every link."""
        for host in self.cuts:
            self.cuts[host] = set()
            self._write(host)

    def _addresses(self, name: str) -> tuple[str, ...]:
        host = self.fleet.hosts.get(name)
        if host is not None:
            return host.callers_address, host.peers_address
        return (self.fleet.processes[name].address,)

    def _path(self, host: str) -> str:
        return str(self.fleet.directory / f"{host}.cuts")

    def _write(self, host: str) -> None:
        path = self.fleet.directory / f"{host}.cuts"
        text = json.dumps(sorted(self.cuts.get(host, set())))
        temporary = path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(path)
