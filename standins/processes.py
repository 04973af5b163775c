"""
Processes started by tests, the demo and the benchmarks.

Each writes its output to its own file and is ended by its process id::

    process = await start_process("engine", ["-m", "standins.engine"], directory)
    process.stop()
    process.resume()
    await process.kill()
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
POLL_S = 0.02
READY_LIMIT_S = 20.0
END_LIMIT_S = 5.0
FIRST_PORT, LAST_PORT = 10_000, 32_000
_picked_ports: set[int] = set()


class ProcessEndedError(Exception):
    """Raised if a process ended before it was ready; the text has its output."""


@dataclass(slots=True, eq=False)
class Process:
    """A running process, its port on loopback and the file of its output."""

    name: str
    popen: subprocess.Popen[bytes]
    output: Path
    port: int = 0

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self.popen.pid

    @property
    def address(self) -> str:
        """``IP:port`` that the process listens on."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """The base URL of the process."""
        return f"http://{self.address}"

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.popen.poll() is None

    def stop(self) -> None:
        """Pause the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, which ends the process gracefully."""
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._signal(signal.SIGKILL)
        await self.wait()

    async def wait(self, limit_s: float = END_LIMIT_S) -> int:
        """Return the exit code; raises ``trio.TooSlowError`` after ``limit_s``."""
        with trio.fail_after(limit_s):
            while True:
                code = self.popen.poll()
                if code is not None:
                    return code
                await trio.sleep(POLL_S)

    def read_output(self) -> str:
        """Return all that the process has written."""
        return self.output.read_text(errors="replace")

    def _signal(self, number: signal.Signals) -> None:
        if self.running:
            self.popen.send_signal(number)


def launch_process(
    name: str, arguments: Sequence[str], directory: Path, checkout: Path = ROOT
) -> Process:
    """Start ``python ARGUMENTS`` of a checkout without waiting for it."""
    output = directory / f"{name}.log"
    environment = {**os.environ, "PYTHONPATH": f"{checkout / 'src'}:{checkout}"}
    with output.open("ab") as log:
        popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=checkout,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    return Process(name, popen, output)


async def start_process(
    name: str, arguments: Sequence[str], directory: Path
) -> Process:
    """Start a process and wait for the ready line, which has its port."""
    written = directory / f"{name}.log"
    skip = written.stat().st_size if written.exists() else 0
    process = launch_process(name, arguments, directory)
    with trio.fail_after(READY_LIMIT_S):
        while True:
            port = _find_port(written.read_bytes()[skip:])
            if port is not None:
                process.port = port
                return process
            require_running(process)
            await trio.sleep(POLL_S)


def require_running(process: Process) -> None:
    """Raise ``ProcessEndedError`` when the process has ended."""
    if not process.running:
        raise ProcessEndedError(
            f"{process.name} ended with {process.popen.returncode}:\n"
            f"{process.read_output()[-2000:]}"
        )


def pick_port() -> int:
    """
    Return a port on loopback that is currently free for TCP and UDP.

    It lies below the usual ephemeral range, so that no outgoing connection takes
    it before its process listens. No port is returned twice, since the process
    that got it first may not be listening yet.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _picked_ports:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind((LOOPBACK, port))
                datagrams.bind((LOOPBACK, port))
            except OSError:
                continue
        _picked_ports.add(port)
        return port


def _find_port(written: bytes) -> int | None:
    for line in written.splitlines(keepends=True):
        if line.startswith(b'{"ready"') and line.endswith(b"\n"):
            return int(json.loads(line)["port"])
    return None
