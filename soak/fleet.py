"""
The processes of a run: gateways, targets and the store, and links before them.

Gateways and targets are real processes with real sockets; the store serves in
the run's own loop, and each gateway reaches it through a proxy of its own.
"""

from __future__ import annotations

import itertools
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
import trio

from standins.processes import Process, launch_process, start_process
from standins.site import (
    PORTS,
    REGIONS,
    FakeStore,
    draw_network,
    listen,
    make_configuration,
    make_entry,
    make_route,
    make_settings,
)

from .answers import RequestKind
from .callers import Doors
from .checks import Place
from .proxy import open_proxy

if TYPE_CHECKING:
    from .proxy import Proxy

# From SIGTERM to SIGKILL, as on the first deployments.
GRACE_S = 8.0
# From the end of a killed target until the store drops its entry.
LAPSE_S = 0.6
# A draining target serves for so long, then ends.
DRAIN_S = 4.0
# Far beyond a start (0.5 s of processor time) with dozens at once.
READY_S = 20.0
# Between two looks at a process or its ready address.
POLL_S = 0.02
LOOPBACK = "127.0.0.1"
# Of a target, from all hosts; far more than the callers of a run need.
MOST_CONNECTIONS = 200
SERVICES = ("plain", "streams")
KIND_NAMES = {
    RequestKind.SAFE: "safe",
    RequestKind.UNSAFE: "unsafe",
    RequestKind.STREAM: "streaming",
    RequestKind.RESUMED: "streaming",
}


@dataclass(slots=True)
class HostProcess:
    """
    A gateway of the run.

    ``starts`` counts its processes; the present one's log begins at
    ``log_from``. ``ended_on_purpose`` says that a signal of ours ends it,
    ``killed`` that it was SIGKILL. ``gone`` tells when the gateway was away,
    ``paused_until`` until when a process of it was stopped.
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
    ended_on_purpose: bool = False
    killed: bool = False
    paused_until: float = 0.0
    gone: list[tuple[float, float]] = field(default_factory=list)

    @property
    def named(self) -> str:
        """The address that directories name."""
        return f"{self.ip}:{PORTS['front']}"

    @property
    def doors(self) -> Doors:
        """Where callers get in."""
        directory = (self.ip, PORTS["directory"])
        region = REGIONS[self.zone]
        front = self.caller_link.address
        return Doors(self.name, region, self.zone, directory, self.named, front)

    @property
    def running(self) -> bool:
        """Whether a process of it runs."""
        return self.process is not None and self.process.running


@dataclass(slots=True)
class TargetProcess:
    """A target of the run; each start of it has a new id."""

    name: str
    service: str
    zone: str
    link: Proxy
    port: int
    process: Process | None = None
    id: str = ""


class Fleet:
    """State: what runs, and how each of it is reached."""

    def __init__(self, nursery: trio.Nursery, directory: Path, seed: int) -> None:
        self.nursery = nursery
        self.directory = directory
        self.store = FakeStore()
        self.hosts: list[HostProcess] = []
        self.targets: list[TargetProcess] = []
        self.versions: dict[int, float] = {}
        self.places: dict[str, Place] = {}
        self.ends: list[str] = []
        self.faulty_share = 0.0
        self._launched: list[Process] = []
        self._seed = seed
        self._ids = itertools.count()
        self._network = draw_network()

    @property
    def sound(self) -> Path:
        """The file at whose presence targets do nothing wrong any more."""
        return self.directory / "sound"

    async def open_store(self) -> None:
        """Let the store serve and write the first configuration."""
        ip, port = await listen(self.nursery, self.store.serve)
        self.store.address = f"{ip}:{port}"
        self.configure()

    def configure(self) -> int:
        """Write a new version, which adds a route that is its own."""
        version = len(self.versions) + 1
        routes = [
            make_route(
                SERVICES[kind.is_stream],
                KIND_NAMES[kind],
                f"/v0/{kind.value}/",
                timeout_ms=4000,
                resumable=kind is RequestKind.RESUMED,
                gap_aim_ms=400,
            )
            for kind in RequestKind
        ]
        routes += [
            make_route(SERVICES[0], "safe", f"/v{number}/", timeout_ms=4000)
            for number in range(1, version + 1)
        ]
        value = make_configuration(version, routes, MOST_CONNECTIONS, {})
        self.store.put("op/config", value)
        self.versions[version] = time.monotonic()
        return version

    async def add_target(self, service: str, zone: str) -> TargetProcess:
        """Start a target and announce it."""
        name = f"{service}-{len(self.targets)}"
        link = await open_proxy(self.nursery, (LOOPBACK, 0))
        target = TargetProcess(name, service, zone, link, 0)
        self.targets.append(target)
        await self.start_target(target)
        return target

    async def start_target(self, target: TargetProcess) -> None:
        """Start a target, with a new id."""
        number = next(self._ids)
        target.id = f"i-{number}"
        self.places[target.id] = Place(target.name, target.zone)
        arguments = [
            "-m",
            "soak.target",
            f"--id={target.id}",
            f"--record={self.directory / target.id}.record",
            f"--port={target.port}",
            f"--seed={self._seed + number}",
            f"--faulty-share={self.faulty_share}",
            f"--sound={self.sound}",
        ]
        target.process = await start_process(target.id, arguments, self.directory)
        self._launched.append(target.process)
        target.port = target.process.port
        target.link.upstream = (LOOPBACK, target.port)
        self.announce(target)

    def announce(self, target: TargetProcess, **fields: Any) -> None:
        """Write what a target says of itself into the store."""
        ip, port = target.link.address
        fields = {"seq": next(self._ids)} | fields
        entry = make_entry(target.service, f"{ip}:{port}", target.zone, **fields)
        self.store.put(f"servers/{target.id}", entry)

    async def restart_target(self, target: TargetProcess, after_s: float) -> None:
        """Kill a target, let its entry lapse, and start it again."""
        process, old = target.process, target.id
        if process is None or not process.running:
            return
        target.process = None
        await process.kill()
        await trio.sleep(LAPSE_S)
        self.store.remove(f"servers/{old}")
        await trio.sleep(after_s)
        await self.start_target(target)

    async def drain_target(self, target: TargetProcess) -> None:
        """Have a target say that it leaves, end it in time, and start another."""
        process = target.process
        if process is None or not process.running:
            return
        self.announce(target, state="draining")
        await trio.sleep(DRAIN_S)
        await self.restart_target(target, 0.0)

    async def add_host(self, zone: str) -> HostProcess:
        """Give a gateway its addresses, links and settings, without a start."""
        number = len(self.hosts) + 1
        ip = f"{self._network}.{number}"
        store_ip, store_port = self.store.address.rsplit(":", 1)
        store_link = await open_proxy(self.nursery, (store_ip, int(store_port)))
        caller_link = await open_proxy(self.nursery, (ip, PORTS["front"]))
        name = f"{zone}-{number}"
        settings = self.directory / f"{name}.json"
        host = HostProcess(name, ip, zone, store_link, caller_link, settings)
        self.hosts.append(host)
        self.places[name] = Place(name, zone)
        self.write_settings(host)
        return host

    def write_settings(self, host: HostProcess) -> None:
        """Write the settings file, with seeds drawn anew."""
        store = "{}:{}".format(*host.store_link.address)
        fields = make_settings(host.name, host.ip, host.zone, store)
        others = [each.ip for each in self.hosts[:6]]
        fields["seeds"] = [f"{ip}:{PORTS['control']}" for ip in others]
        fields["bounds"] = {"grace_s": GRACE_S}
        host.settings.write_bytes(orjson.dumps(fields))

    def launch_host(self, host: HostProcess) -> None:
        """Start a gateway without waiting."""
        host.starts += 1
        log = self._log(host)
        host.log_from = log.stat().st_size if log.exists() else 0
        host.ended_on_purpose = host.killed = False
        arguments = ["-m", "lycheepath", "gateway", "--settings", str(host.settings)]
        host.process = launch_process(host.name, arguments, self.directory)
        self._launched.append(host.process)

    async def wait_ready(self, host: HostProcess) -> bool:
        """Wait until a gateway says that it is ready; return whether it did."""
        with trio.move_on_after(READY_S):
            while host.running:
                if await self._is_ready(host):
                    return True
                await trio.sleep(POLL_S)
        return False

    async def kill_host(self, host: HostProcess, after_s: float) -> None:
        """
        Kill a gateway and start it again after a while.

        One that is being ended already is started again by whoever ends it.
        """
        process = host.process
        if process is None or not process.running:
            return
        ends_already = host.ended_on_purpose
        host.ended_on_purpose = host.killed = True
        since = time.monotonic()
        await process.kill()
        if not ends_already:
            await self._start_again(host, since, after_s)

    async def end_host(self, host: HostProcess, after_s: float) -> None:
        """Tell a gateway to end, as the platform does, and start it again."""
        process = host.process
        if process is None or not process.running or host.ended_on_purpose:
            return
        host.ended_on_purpose = True
        process.popen.send_signal(signal.SIGTERM)
        asked_at = time.monotonic()
        while process.running and time.monotonic() - asked_at < GRACE_S:
            await trio.sleep(POLL_S)
        since = time.monotonic()
        # One that is told to end during its imports has no line and no caller.
        started = self._had_started(host)
        if process.running:
            # A stopped process can't end; it is killed as the platform does.
            if host.paused_until < asked_at:
                self.ends.append(f"{host.name} still ran {GRACE_S} s after SIGTERM")
            await process.kill()
        elif process.popen.returncode and not host.killed and started:
            self.ends.append(
                f"{host.name} ended with {process.popen.returncode}"
                f" {since - asked_at:.1f} s after SIGTERM"
            )
        await self._start_again(host, since, after_s)

    async def pause(self, process: Process | None, for_s: float) -> None:
        """Stop a process for a while, and let it go on if it still is there."""
        if process is None or not process.running:
            return
        for host in self.hosts:
            if host.process is process:
                until = time.monotonic() + for_s
                host.paused_until = max(host.paused_until, until)
        process.popen.send_signal(signal.SIGSTOP)
        await trio.sleep(for_s)
        if process.running:
            process.popen.send_signal(signal.SIGCONT)

    def reload_host(self, host: HostProcess) -> None:
        """Write a gateway's settings anew and tell it."""
        if host.running and host.process is not None:
            self.write_settings(host)
            host.process.popen.send_signal(signal.SIGHUP)

    def note_ends(self) -> None:
        """Note what ended without a signal of ours; start gateways again."""
        for host in self.hosts:
            process = host.process
            if process is None or process.running or host.ended_on_purpose:
                continue
            self.ends.append(_describe_end(process))
            self.launch_host(host)
        for target in self.targets:
            if target.process is not None and not target.process.running:
                self.ends.append(_describe_end(target.process))
                target.process = None

    def read_memory(self, host: HostProcess) -> int:
        """Return the most memory that a gateway's process has held, in bytes."""
        if host.process is None or not host.running:
            return 0
        try:
            status = Path(f"/proc/{host.process.pid}/status").read_text()
        except OSError:
            return 0
        # A process that is ending has no such line any more.
        peaks = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peaks[0].split()[1]) * 1024 if peaks else 0

    async def close(self) -> None:
        """End all processes that were started here."""
        for host in self.hosts:
            host.ended_on_purpose = True
        for process in self._launched:
            if process.running:
                process.popen.send_signal(signal.SIGCONT)
                await process.kill()

    def _had_started(self, host: HostProcess) -> bool:
        """Whether the present process got as far as its first line."""
        return b'"event":"start"' in self._log(host).read_bytes()[host.log_from :]

    def _log(self, host: HostProcess) -> Path:
        return self.directory / f"{host.name}.log"

    async def _start_again(
        self, host: HostProcess, since: float, after_s: float
    ) -> None:
        await trio.sleep(after_s)
        host.gone.append((since, time.monotonic()))
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


def _describe_end(process: Process) -> str:
    tail = process.read_output()[-400:]
    return f"{process.name} ended by itself with {process.popen.returncode}: {tail}"
