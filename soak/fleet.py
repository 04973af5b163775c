"""
The processes of a run: gateways, targets and the store, and proxies before them.

Gateways and targets are real processes with real sockets; the store runs in the
run's event loop, and each gateway reaches it through its own proxy.
"""

from __future__ import annotations

import itertools
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
import trio

from standins.processes import ROOT, Process, launch_process, start_process
from standins.site import (
    PORTS,
    REGIONS,
    draw_network,
    listen,
    make_entry,
    make_settings,
)
from standins.store import FakeStore

from .brittle import FALL_EXIT, FALL_RESTART_S
from .callers import HostEndpoints
from .configuration import SERVICES, make_version
from .evidence import Location
from .fatal import FATAL_EXIT
from .owners import find_owner
from .proxy import open_proxy
from .versions import name_version

if TYPE_CHECKING:
    from .proxy import Proxy
    from .teams import TeamBook

# Time from SIGTERM to SIGKILL, that of the first deployments.
GRACE_S = 8.0
# Time from the end of a killed target until the store removes its entry.
ENTRY_EXPIRY_S = 0.6
# Time from then until a target that ended under a fatal request is back.
RESTART_S = 1.0
# Time for which a draining target continues to serve before it ends.
DRAIN_S = 4.0
# Time-out for readiness; far above a start (0.5 s of processor time) also when
# dozens of gateways start at once.
READY_TIMEOUT_S = 20.0
# Interval between checks of a process or its readiness address.
POLL_S = 0.02
LOOPBACK = "127.0.0.1"
# Requests that a target runs at once.
TARGET_SLOTS = 4


@dataclass(slots=True)
class HostProcess:
    """
    A gateway of the run.

    ``starts`` counts its processes; the current one's log begins at byte
    ``log_from``. ``exit_expected`` is set if the run has sent a signal that ends
    it, ``killed`` if that was SIGKILL. ``downtimes`` has the periods without a
    process; ``paused_until`` is the end of the latest pause. ``checkout`` has the sources
    that it runs.
    """

    name: str
    ip: str
    zone: str
    store_link: Proxy
    caller_link: Proxy
    settings: Path
    process: Process | None = None
    starts: int = 0
    log_from: int = 0
    exit_expected: bool = False
    killed: bool = False
    paused_until: float = 0.0
    downtimes: list[tuple[float, float]] = field(default_factory=list)
    checkout: Path = ROOT

    @property
    def public_address(self) -> str:
        """The address that directories list."""
        return f"{self.ip}:{PORTS['front']}"

    @property
    def endpoints(self) -> HostEndpoints:
        """The addresses that callers use."""
        directory = (self.ip, PORTS["directory"])
        region = REGIONS[self.zone]
        proxy_address = self.caller_link.address
        return HostEndpoints(
            self.name, region, self.zone, directory, self.public_address, proxy_address
        )

    @property
    def running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.running


@dataclass(slots=True)
class TargetProcess:
    """A target of the run; each start gets a new id."""

    name: str
    service: str
    zone: str
    link: Proxy
    port: int
    process: Process | None = None
    id: str = ""
    version: str = "v1"


class Fleet:
    """State: the processes of a run and their addresses."""

    def __init__(self, nursery: trio.Nursery, directory: Path, seed: int) -> None:
        self.nursery = nursery
        self.directory = directory
        self.store = FakeStore()
        self.hosts: list[HostProcess] = []
        self.targets: list[TargetProcess] = []
        self.versions: dict[int, float] = {}
        self.locations: dict[str, Location] = {}
        self.process_failures: list[str] = []
        # Names of targets that ended under a fatal request, and when it was noticed.
        self.fatal_ends: list[tuple[str, float]] = []
        # Names of targets that fell over while they were brittle, and when it was noticed.
        self.falls: list[tuple[str, float]] = []
        self.faulty_share = 0.0
        self.limited_share = 0.0
        self.brittle_share = 0.0
        self.software_versions = 1
        self.older_checkout: Path | None = None
        self.cuts_hosts = False
        # Idle limit in the configuration, in seconds; the hosts' own if 0.
        self.idle_s = 0.0
        # None in a run without teams.
        self.teams: TeamBook | None = None
        self._launched: list[Process] = []
        self._seed = seed
        self._ids = itertools.count()
        self._network = draw_network()

    @property
    def brittle_file(self) -> Path:
        """The file with the times in which targets are brittle."""
        return self.directory / "brittle.json"

    @property
    def brittle_targets(self) -> list[TargetProcess]:
        """The targets that are brittle at times; all of one service."""
        return [target for target in self.targets if self._is_brittle(target)]

    @property
    def faults_off_file(self) -> Path:
        """The file whose presence makes targets stop injecting faults."""
        return self.directory / "sound"

    async def open_store(self) -> None:
        """Start the store and write the first configuration."""
        ip, port = await listen(self.nursery, self.store.serve)
        self.store.address = f"{ip}:{port}"
        self.configure()

    def configure(self) -> int:
        """Write a new version, which adds a route of its own."""
        version = len(self.versions) + 1
        # With several versions, in half of the seeds only callers take up streams.
        cut = self.software_versions > 1 and self._seed % 2 == 0
        attempts = 1 if cut else 2
        tenants = self.teams.write_tenants() if self.teams is not None else None
        value = make_version(version, attempts, self.idle_s, tenants)
        self.store.put("op/config", value)
        self.versions[version] = time.monotonic()
        return version

    async def add_target(self, service: str, zone: str) -> TargetProcess:
        """Start a target and write its entry to the store."""
        name = f"{service}-{len(self.targets)}"
        link = await open_proxy(self.nursery, (LOOPBACK, 0))
        if self.cuts_hosts:
            link.find_owner = self._find_owner
        target = TargetProcess(name, service, zone, link, 0)
        self.targets.append(target)
        await self.start_target(target)
        return target

    async def start_target(self, target: TargetProcess) -> None:
        """Start a target, with a new id."""
        number = next(self._ids)
        target.id = f"i-{number}"
        self.locations[target.id] = Location(target.name, target.zone)
        # Each start may bring another version.
        draw = random.Random(f"version/{self._seed}/{number}")
        target.version = name_version(draw.randrange(99), self.software_versions)
        arguments = [
            "-m",
            "soak.target",
            f"--id={target.id}",
            f"--record={self.directory / target.id}.record",
            f"--port={target.port}",
            f"--slots={TARGET_SLOTS}",
            f"--seed={self._seed + number}",
            f"--faulty-share={self.faulty_share}",
            f"--limited-share={self.limited_share}",
            f"--sound={self.faults_off_file}",
        ]
        if self._is_brittle(target):
            arguments.append(f"--brittle={self.brittle_file}")
        if self.teams is not None:
            arguments.append("--teams")
        if self.software_versions > 1:
            arguments.append(f"--software={target.version}")
        target.process = await start_process(target.id, arguments, self.directory)
        self._launched.append(target.process)
        target.port = target.process.port
        target.link.upstream = (LOOPBACK, target.port)
        self.announce(target)

    def announce(self, target: TargetProcess, **fields: Any) -> None:
        """Write a target's entry to the store."""
        ip, port = target.link.address
        fields = {
            "seq": next(self._ids),
            "version": target.version,
            "slots": TARGET_SLOTS,
        } | fields
        entry = make_entry(target.service, f"{ip}:{port}", target.zone, **fields)
        self.store.put(f"servers/{target.id}", entry)

    async def restart_target(self, target: TargetProcess, after_s: float) -> None:
        """Kill a target, remove its entry as after its expiry, and restart it."""
        process, old = target.process, target.id
        if process is None or not process.running:
            return
        target.process = None
        await process.kill()
        await trio.sleep(ENTRY_EXPIRY_S)
        self.store.remove(f"servers/{old}")
        await trio.sleep(after_s)
        await self.start_target(target)

    async def _replace_ended(self, target: TargetProcess, after_s: float) -> None:
        """Restart a target that has ended by itself, under a new id."""
        await trio.sleep(ENTRY_EXPIRY_S)
        self.store.remove(f"servers/{target.id}")
        await trio.sleep(after_s)
        await self.start_target(target)

    def _is_brittle(self, target: TargetProcess) -> bool:
        draw = random.Random(f"brittle/{self._seed}/{target.name}")
        return target.service == SERVICES[1] and draw.random() < self.brittle_share

    async def drain_target(self, target: TargetProcess) -> None:
        """Announce a target as draining, end it after ``DRAIN_S``, and restart it."""
        process = target.process
        if process is None or not process.running:
            return
        self.announce(target, state="draining")
        await trio.sleep(DRAIN_S)
        await self.restart_target(target, 0.0)

    async def add_host(self, zone: str) -> HostProcess:
        """Assign a gateway its addresses, proxies and settings, without starting it."""
        number = len(self.hosts) + 1
        ip = f"{self._network}.{number}"
        store_ip, store_port = self.store.address.rsplit(":", 1)
        store_link = await open_proxy(self.nursery, (store_ip, int(store_port)))
        caller_link = await open_proxy(self.nursery, (ip, PORTS["front"]))
        name = f"{zone}-{number}"
        settings = self.directory / f"{name}.json"
        host = HostProcess(name, ip, zone, store_link, caller_link, settings)
        if self.older_checkout is not None and number % 2 == 0:
            host.checkout = self.older_checkout
        self.hosts.append(host)
        self.locations[name] = Location(name, zone)
        self.write_settings(host)
        return host

    def write_settings(self, host: HostProcess) -> None:
        """Write the settings file, with the first six current hosts as seeds."""
        store = "{}:{}".format(*host.store_link.address)
        fields = make_settings(host.name, host.ip, host.zone, store)
        others = [each.ip for each in self.hosts[:6]]
        fields["seeds"] = [f"{ip}:{PORTS['control']}" for ip in others]
        fields["bounds"] = {"grace_s": GRACE_S}
        if self.teams is not None:
            fields["bounds"]["revoke_strict"] = True
        host.settings.write_bytes(orjson.dumps(fields))

    def launch_host(self, host: HostProcess) -> None:
        """Start a gateway without waiting."""
        host.starts += 1
        log = self._log(host)
        host.log_from = log.stat().st_size if log.exists() else 0
        host.exit_expected = host.killed = False
        arguments = ["-m", "lycheepath", "gateway", "--settings", str(host.settings)]
        host.process = launch_process(
            host.name, arguments, self.directory, host.checkout
        )
        self._launched.append(host.process)

    async def wait_ready(self, host: HostProcess) -> bool:
        """Wait until a gateway is ready; return False if it isn't in time."""
        with trio.move_on_after(READY_TIMEOUT_S):
            while host.running:
                if await self._is_ready(host):
                    return True
                await trio.sleep(POLL_S)
        return False

    async def kill_host(self, host: HostProcess, after_s: float) -> None:
        """
        Kill a gateway and restart it after ``after_s``.

        If it is already being ended, the task that ends it does the restart.
        """
        process = host.process
        if process is None or not process.running:
            return
        ends_already = host.exit_expected
        host.exit_expected = host.killed = True
        since = time.monotonic()
        await process.kill()
        if not ends_already:
            await self._restart_after(host, since, after_s)

    async def end_host(self, host: HostProcess, after_s: float) -> None:
        """End a gateway with SIGTERM, as the platform does, and restart it."""
        process = host.process
        if process is None or not process.running or host.exit_expected:
            return
        host.exit_expected = True
        process.popen.send_signal(signal.SIGTERM)
        asked_at = time.monotonic()
        while process.running and time.monotonic() - asked_at < GRACE_S:
            await trio.sleep(POLL_S)
        since = time.monotonic()
        # A gateway that gets SIGTERM during its imports has logged nothing yet and has
        # no callers; its exit code doesn't count.
        started = self._has_logged_start(host)
        if process.running:
            # A paused process can't end; it is killed, as the platform does.
            if host.paused_until < asked_at:
                self.process_failures.append(
                    f"{host.name} still ran {GRACE_S} s after SIGTERM"
                )
            await process.kill()
        elif process.popen.returncode and not host.killed and started:
            self.process_failures.append(
                f"{host.name} ended with {process.popen.returncode}"
                f" {since - asked_at:.1f} s after SIGTERM"
            )
        await self._restart_after(host, since, after_s)

    async def pause(
        self, process: Process | None, duration_s: float, excuses: bool = True
    ) -> None:
        """
        Pause a process, and resume it if it is still running.

        A host may then end too late, if the pause ``excuses`` it.
        """
        if process is None or not process.running:
            return
        for host in self.hosts:
            if excuses and host.process is process:
                until = time.monotonic() + duration_s
                host.paused_until = max(host.paused_until, until)
        process.popen.send_signal(signal.SIGSTOP)
        await trio.sleep(duration_s)
        if process.running:
            process.popen.send_signal(signal.SIGCONT)

    def reload_host(self, host: HostProcess) -> None:
        """Rewrite a gateway's settings and send it SIGHUP."""
        if host.running and host.process is not None:
            self.write_settings(host)
            host.process.popen.send_signal(signal.SIGHUP)

    def record_unexpected_exits(self) -> None:
        """Record unexpected exits of processes; restart the gateways."""
        for host in self.hosts:
            process = host.process
            if process is None or process.running or host.exit_expected:
                continue
            self.process_failures.append(_describe_exit(process))
            self.launch_host(host)
        for target in self.targets:
            process = target.process
            if process is None or process.running:
                continue
            target.process = None
            if process.popen.returncode == FATAL_EXIT:
                self.fatal_ends.append((target.name, time.monotonic()))
                self.nursery.start_soon(self._replace_ended, target, RESTART_S)
            elif process.popen.returncode == FALL_EXIT:
                self.falls.append((target.name, time.monotonic()))
                after_s = FALL_RESTART_S - ENTRY_EXPIRY_S
                self.nursery.start_soon(self._replace_ended, target, after_s)
            else:
                self.process_failures.append(_describe_exit(process))

    def read_memory(self, host: HostProcess) -> int:
        """Return the peak resident memory of a gateway's process, in bytes."""
        if host.process is None or not host.running:
            return 0
        try:
            status = Path(f"/proc/{host.process.pid}/status").read_text()
        except OSError:
            return 0
        # The line is missing once the process is ending.
        peaks = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peaks[0].split()[1]) * 1024 if peaks else 0

    async def close(self) -> None:
        """End all processes that were started here."""
        for host in self.hosts:
            host.exit_expected = True
        for process in self._launched:
            if process.running:
                process.popen.send_signal(signal.SIGCONT)
                await process.kill()

    def _find_owner(self, port: int) -> str:
        """Return the name of the host that has a local port."""
        return find_owner(
            port,
            {
                host.name: host.process.pid
                for host in self.hosts
                if host.process is not None and host.running
            },
        )

    def _has_logged_start(self, host: HostProcess) -> bool:
        """Whether the current process has logged its start event."""
        return b'"event":"start"' in self._log(host).read_bytes()[host.log_from :]

    def _log(self, host: HostProcess) -> Path:
        return self.directory / f"{host.name}.log"

    async def _restart_after(
        self, host: HostProcess, since: float, after_s: float
    ) -> None:
        await trio.sleep(after_s)
        host.downtimes.append((since, time.monotonic()))
        self.launch_host(host)

    async def _is_ready(self, host: HostProcess) -> bool:
        try:
            async with await trio.open_tcp_stream(host.ip, PORTS["ready"]) as stream:
                await stream.send_all(
                    b"GET /lycheepath/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                answer = await stream.receive_some(64)
        except (OSError, trio.BrokenResourceError):
            return False
        return answer.startswith(b"HTTP/1.1 200")


def _describe_exit(process: Process) -> str:
    tail = process.read_output()[-400:]
    return f"{process.name} ended by itself with {process.popen.returncode}: {tail}"
