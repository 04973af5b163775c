"""
A complete deployment on loopback: platform, targets, hosts and callers.

Targets and hosts are added first, then the environment document that lists
them is published, then the hosts start::

    async with open_fleet(directory) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("runner-1", "accra-1", token_ms=5)
        await fleet.start_service("booking-1", "accra-1", "booking")
        fleet.add_host("host-1", "accra-1")
        await fleet.publish_environment()
        host = await fleet.start_host("host-1")
        outcome = await fleet.caller().ask(host.address, build_messages("hello"))
        await engine.kill()

A zone's region is its name up to the last hyphen. Leaving the block ends all
processes by their ids.
"""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import httpx
import trio

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Limit,
    Model,
    Operation,
    Region,
    Service,
    Stage,
    Target,
    TargetKind,
    Zone,
)
from lycheepath.core.environment.reading import write_environment

from .caller import MODEL, Caller
from .processes import (
    LOOPBACK,
    POLL_S,
    READY_LIMIT_S,
    Process,
    launch_process,
    pick_port,
    require_running,
    start_process,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Sequence
    from pathlib import Path

HOST_MODULE = "lycheepath"
ENVIRONMENT = "demo"
TEAM = "bridal"
PEER_KEY = {"id": "k1", "secret": "11" * 32}
DEFAULT_LIMIT = Limit("*", tokens_per_s=1e6, burst_tokens=1e6, requests_per_s=1e4)


@dataclass(slots=True)
class Fleet:
    """The processes of one deployment and the documents that describe it."""

    directory: Path
    client: httpx.AsyncClient
    processes: dict[str, Process] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    keys: dict[tuple[str, str], str] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    host_module: str = HOST_MODULE
    revision: int = 0
    published: dict[str, Any] = field(default_factory=dict)

    @property
    def platform(self) -> Process:
        """The platform stand-in."""
        return self.processes["platform"]

    def caller(self, team: str = TEAM, region: str = "") -> Caller:
        """
        Return a caller of ``team`` whose home region is ``region``.

        Its key is in the directory from the next ``publish_directory`` on. The
        region defaults to that of the first host.
        """
        home = region or read_region(next(iter(self.hosts.values())).zone)
        key = self.keys.setdefault((team, home), f"key-of-{team}-{home}")
        return Caller(self.client, key)

    async def start_platform(self, port: int = 0) -> Process:
        """Start the platform stand-in."""
        return await self._start("platform", "standins.platform", port=port)

    async def start_engine(
        self,
        name: str,
        zone: str,
        *,
        models: Sequence[str] = (MODEL,),
        port: int = 0,
        **options: Any,
    ) -> Process:
        """
        Start an engine and list it as a target.

        ``options`` are those of ``standins.engine``, such as ``slots``,
        ``token_ms`` or ``crash_marker``.
        """
        process = await self._start(
            name, "standins.engine", port=port, models=",".join(models), **options
        )
        self.targets[name] = Target(
            name,
            zone,
            process.address,
            TargetKind.RUNNER,
            tuple(models),
            slots=int(options.get("slots", 16)),
            kv_tokens=int(options.get("kv_tokens", 100_000)),
            checks_fencing=bool(options.get("checks_fencing", False)),
        )
        return process

    async def start_service(
        self,
        name: str,
        zone: str,
        service: str,
        *,
        port: int = 0,
        **options: Any,
    ) -> Process:
        """Start an instance of a plain service and list it as a target."""
        record = self.directory / f"{name}.executions"
        process = await self._start(
            name, "standins.service", port=port, record=record, **options
        )
        self.targets[name] = Target(
            name, zone, process.address, TargetKind.SERVICE, service=service
        )
        return process

    def add_host(self, name: str, zone: str) -> Host:
        """Assign a host its addresses and list it, without starting it."""
        callers, peers = (f"{LOOPBACK}:{pick_port()}" for _ in range(2))
        self.hosts[name] = Host(name, zone, callers, peers)
        return self.hosts[name]

    async def start_host(self, name: str, **settings: Any) -> Process:
        """
        Start a host and wait until it is ready.

        ``settings`` replace members of its settings document.
        """
        process = self.launch_host(name, **settings)
        await self.wait_ready(name)
        return process

    async def start_hosts(self, ids: Iterable[str] = ()) -> None:
        """Start the named hosts, or all of them, concurrently."""
        chosen = list(ids) or list(self.hosts)
        for name in chosen:
            self.launch_host(name)
        async with trio.open_nursery() as nursery:
            for name in chosen:
                nursery.start_soon(self.wait_ready, name)

    def launch_host(self, name: str, **settings: Any) -> Process:
        """Start a host, also after a kill, without waiting."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self.build_settings(name, **settings), indent=2))
        arguments = ["-m", self.host_module, "serve", "--settings", str(path)]
        process = launch_process(name, arguments, self.directory)
        process.port = int(self.hosts[name].callers_address.rsplit(":", 1)[1])
        self.processes[name] = process
        return process

    async def wait_ready(self, name: str, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until ``GET /ready`` of a host answers 200."""
        process = self.processes[name]
        with trio.fail_after(limit_s):
            while not await self._is_ready(process):
                require_running(process)
                await trio.sleep(POLL_S)

    def build_settings(self, name: str, **replaced: Any) -> dict[str, Any]:
        """Return the settings document of a host."""
        host = self.hosts[name]
        others = [h.callers_address for h in self.hosts.values() if h.id != name]
        return {
            "host": name,
            "zone": host.zone,
            "region": read_region(host.zone),
            "listen": {"callers": host.callers_address, "peers": host.peers_address},
            "platform": {"url": self.platform.url, "environment": ENVIRONMENT},
            "peer_keys": [PEER_KEY],
            "seeds": others,
            "drain_s": 10.0,
            **self.settings,
            **replaced,
        }

    def build_environment(self, **replaced: Any) -> Environment:
        """Return the environment of all listed hosts and targets."""
        zones = sorted(
            {host.zone for host in self.hosts.values()}
            | {target.zone for target in self.targets.values()}
        )
        services = {t.service for t in self.targets.values() if t.service}
        models = {model for t in self.targets.values() for model in t.models}
        fields: dict[str, Any] = {
            "name": ENVIRONMENT,
            "revision": self.revision,
            "stage": Stage.TRIAL,
            "regions": tuple(map(Region, sorted({*map(read_region, zones)}))),
            "zones": tuple(Zone(zone, read_region(zone)) for zone in zones),
            "hosts": tuple(self.hosts.values()),
            "targets": tuple(self.targets.values()),
            "models": tuple(Model(model) for model in sorted(models)),
            "services": tuple(map(build_service, sorted(services))),
            "limits": (DEFAULT_LIMIT,),
        }
        return Environment(**{**fields, **replaced})

    async def publish_environment(self, **replaced: Any) -> dict[str, Any]:
        """
        Publish the next revision, the list of hosts and the directory.

        ``replaced`` are fields of ``Environment``.
        """
        self.revision += 1
        document: dict[str, Any] = json.loads(
            write_environment(self.build_environment(**replaced))
        )
        await self.publish(f"environment/{ENVIRONMENT}", document["revision"], document)
        await self.publish_hosts()
        await self.publish_directory()
        return document

    async def publish_hosts(self, leaving: Sequence[str] = ()) -> None:
        """Publish the hosts and targets with state ``live`` or ``leaving``."""

        def state(name: str) -> str:
            return "leaving" if name in leaving else "live"

        hosts = [
            {"id": host.id, "address": host.callers_address, "state": state(host.id)}
            for host in self.hosts.values()
        ]
        targets = [{"id": name, "state": state(name)} for name in self.targets]
        await self.publish("hosts", None, {"hosts": hosts, "targets": targets})

    async def publish_directory(self) -> None:
        """Publish the directory of all clients that have a key."""
        self.caller()
        clients = [
            {
                "id": f"client-of-{team}-{region}",
                "team": team,
                "region": region,
                "key_sha256": sha256(key.encode()).hexdigest(),
            }
            for (team, region), key in self.keys.items()
        ]
        await self.publish("directory", None, {"clients": clients})

    async def publish(self, name: str, revision: Any, value: Any) -> None:
        """Publish a value; ``revision`` None means the next number."""
        if revision is None:
            self.published[name] = revision = self.published.get(name, 0) + 1
        response = await self.client.put(
            f"{self.platform.url}/control/values/{name}",
            json={"revision": revision, "value": value},
        )
        response.raise_for_status()

    async def control(self, name: str, **changes: Any) -> None:
        """Change members of a stand-in's ``/control``, such as its faults."""
        url = f"{self.processes[name].url}/control"
        response = await self.client.post(url, json=changes)
        response.raise_for_status()

    async def read(self, name: str, path: str) -> Any:
        """Return the JSON body of ``GET path`` at a process."""
        response = await self.client.get(self.processes[name].url + path)
        response.raise_for_status()
        return response.json()

    async def count_executions(self) -> dict[str, int]:
        """Return executions by action over all services, ended ones included."""
        counts: dict[str, int] = {}
        for record in self.directory.glob("*.executions"):
            for action in record.read_text().splitlines():
                counts[action] = counts.get(action, 0) + 1
        return counts

    async def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            await process.kill()

    async def _start(self, name: str, module: str, **options: Any) -> Process:
        arguments = ["-m", module, *_format_options(options)]
        process = await start_process(name, arguments, self.directory)
        self.processes[name] = process
        return process

    async def _is_ready(self, process: Process) -> bool:
        try:
            response = await self.client.get(f"{process.url}/ready")
        except httpx.HTTPError:
            return False
        return response.status_code == httpx.codes.OK


@asynccontextmanager
async def open_fleet(directory: Path) -> AsyncIterator[Fleet]:
    """Provide an empty fleet that keeps its files under ``directory``."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as client:
        fleet = Fleet(directory, client)
        try:
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                await fleet.close()


def build_service(name: str, resend_window_s: float = 120.0) -> Service:
    """Return a service where GET may be repeated and POST may not."""
    operations = (
        Operation("GET", "/", repeatable=True),
        Operation("POST", "/", repeatable=False),
    )
    return Service(name, operations, resend_window_s)


def read_region(zone: str) -> str:
    """Return the region of a zone: its name up to the last hyphen."""
    return zone.rsplit("-", 1)[0]


def _format_options(options: dict[str, Any]) -> list[str]:
    arguments = []
    for name, value in options.items():
        option = "--" + name.replace("_", "-")
        if value is True:
            arguments.append(option)
        elif value is not False:
            arguments.append(f"{option}={value}")
    return arguments
