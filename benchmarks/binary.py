"""
Measures the size, start-up time and processes of the single-file binary.

Run ``python -m benchmarks.binary build/lycheepath`` after ``make binary``. The
first start unpacks to ``LYCHEEPATH_UNPACK_FOLDER``, here a new temporary folder;
later starts reuse the unpacked files. The host is started with settings whose
platform does not answer, and timed until it listens.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

REPEATS = 5
SETTINGS = {
    "host": "host-1",
    "zone": "home-a",
    "region": "home",
    "listen": {"callers": "127.0.0.1:18081", "peers": "127.0.0.1:19081"},
    "platform": {"url": "http://127.0.0.1:1", "environment": "trial"},
    "peer_keys": [{"id": "k", "secret": "00" * 16}],
}


def time_version(command: list[str], environment: dict[str, str]) -> float:
    """Return the wall time in seconds of printing the version."""
    start = time.perf_counter()
    subprocess.run([*command, "--version"], env=environment, check=True, stdout=-3)
    return time.perf_counter() - start


def measure_host(command: list[str], environment: dict[str, str]) -> str:
    """Start a host and describe its start-up time, processes and memory."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "host.json")
        path.write_text(json.dumps(SETTINGS))
        start = time.perf_counter()
        process = subprocess.Popen(
            [*command, "serve", "--settings", str(path)],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        try:
            assert process.stdout is not None
            assert process.stdout.readline(), "host exited before it listened"
            listen_s = time.perf_counter() - start
            return f"{listen_s:.2f} s to listen, {describe_process(process.pid)}"
        finally:
            process.terminate()
            process.wait(timeout=60)


def describe_process(pid: int) -> str:
    """Describe the child processes, threads and resident memory of a process."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    threads = len(list(Path(f"/proc/{pid}/task").iterdir()))
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000
    return (
        f"{1 + len(children)} process, {threads} threads, {resident_mb:.0f} MB resident"
    )


def main() -> None:
    """Print the results for the binary and for the installed package."""
    binary = str(Path(sys.argv[1]).resolve())
    with tempfile.TemporaryDirectory() as root:
        environment = os.environ | {"SHIV_ROOT": root, "LYCHEEPATH_UNPACK_FOLDER": root}
        print(f"size {Path(binary).stat().st_size / 1_000_000:.1f} MB")
        print(f"binary: first host {measure_host([binary], environment)}")
        files = (path for path in Path(root).rglob("*") if path.is_file())
        unpacked = sum(path.stat().st_size for path in files)
        print(f"unpacked {unpacked / 1_000_000:.1f} MB")
        measure_later_starts("binary", [binary], environment)
    package = [sys.executable, "-m", "lycheepath"]
    measure_later_starts("package", package, dict(os.environ))


def measure_later_starts(
    name: str, command: list[str], environment: dict[str, str]
) -> None:
    """Print the best version time of ``REPEATS`` and three starts of a host."""
    best = min(time_version(command, environment) for _ in range(REPEATS))
    print(f"{name}: later --version {best:.2f} s")
    for _ in range(3):
        print(f"{name}: later host {measure_host(command, environment)}")


if __name__ == "__main__":
    main()
