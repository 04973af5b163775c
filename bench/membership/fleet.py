"""Starts, controls and stops host processes; used by tests and benchmarks."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
import time
from contextlib import suppress
from dataclasses import astuple, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lycheepath.core.membership.model import PublishedHost
from standins.processes import LOOPBACK, pick_port

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable

ROOT = Path(__file__).parents[2]
POLL_S = 0.02


@dataclass(slots=True)
class HostProcess:
    """A host process and the events that it has printed."""

    host: PublishedHost
    process: subprocess.Popen[bytes]
    events: list[dict[str, Any]] = field(default_factory=list)
    reader: threading.Thread | None = None

    def tell(self, **command: Any) -> None:
        """Send a command to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(command).encode() + b"\n")
        self.process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def read(self) -> None:
        """Read events until the process closes its output."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.events.append(json.loads(line))

    def close(self) -> None:
        """Close the pipes of a process that has exited."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        if self.reader is not None:
            self.reader.join()
        self.process.stdout.close()
        with suppress(BrokenPipeError):
            self.process.stdin.close()

    def ask(self, command: str, timeout_s: float = 10.0) -> dict[str, Any]:
        """Send a command and return the event of the same name that answers it."""
        seen = len(self.events)
        self.tell(do=command)
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for event in self.events[seen:]:
                if event["event"] == command:
                    return event
            time.sleep(POLL_S)
        raise TimeoutError(f"{self.host.id} did not answer {command}")


class Fleet:
    """A set of host processes on loopback; kills all of them on exit."""

    def __init__(self, count: int, zones: dict[str, str]) -> None:
        self.hosts = {host.id: host for host in _make_hosts(count, zones)}
        self.running: dict[str, HostProcess] = {}
        self._hosts_json = json.dumps([astuple(host) for host in self.hosts.values()])

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *details: object) -> None:
        for running in tuple(self.running.values()):
            self.kill(running.host.id)

    def start(self, host_id: str, *options: str) -> HostProcess:
        """Start the process of a host."""
        arguments = ["--id", host_id, "--hosts", self._hosts_json, *options]
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.membership.node_process", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        )
        running = HostProcess(self.hosts[host_id], process)
        self.running[host_id] = running
        running.reader = threading.Thread(target=running.read, daemon=True)
        running.reader.start()
        return running

    def kill(self, host_id: str) -> None:
        """Kill the process of a host and wait until it has exited."""
        running = self.running.pop(host_id)
        running.process.kill()
        running.process.wait()
        running.close()

    def others(self, host_id: str) -> list[HostProcess]:
        """Return all running processes except that of ``host_id``."""
        return [one for name, one in self.running.items() if name != host_id]

    def wait(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until ``condition`` holds; return False after ``timeout_s``."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(POLL_S)
        return condition()

    def all_live(self) -> bool:
        """Return whether each process sees exactly its region's processes as alive."""
        for running in self.running.values():
            members = running.ask("members")["members"]
            live = {name for name, (state, _) in members.items() if state == "ALIVE"}
            if live != self._expected(running.host.region):
                return False
        return True

    def _expected(self, region: str) -> set[str]:
        return {name for name, one in self.running.items() if one.host.region == region}


def _make_hosts(count: int, zones: dict[str, str]) -> list[PublishedHost]:
    names = sorted(zones)
    hosts = []
    for number in range(count):
        zone = names[number % len(names)]
        address = f"{LOOPBACK}:{pick_port()}"
        host_id = f"{zone}-{number:03d}"
        hosts.append(PublishedHost(host_id, address, address, zone, zones[zone]))
    return hosts
