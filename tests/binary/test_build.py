from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from binary.build import build_binary

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("binary") / "lycheepath"
    build_binary(target)
    return target


def test_binary_runs_alone_and_unpacks_once(binary: Path, tmp_path: Path) -> None:
    document = ROOT / "environments" / "trial.json"
    for _ in range(2):
        output = _run(binary, tmp_path, "check", str(document))
        assert "sound" in output
        (unpacked,) = tmp_path.iterdir()
        assert unpacked.stat().st_mode & 0o777 == 0o700
    names = {path.name for path in (unpacked / "native").iterdir()}
    assert {"lycheepath", "capnp", "orjson"} <= names
    assert not names & {"trio", "quart", "httpx"}


def test_binary_does_not_trust_a_folder_that_others_may_write(
    binary: Path, tmp_path: Path
) -> None:
    _run(binary, tmp_path, "--version")
    (unpacked,) = tmp_path.iterdir()
    unpacked.chmod(0o777)
    package = unpacked / "native" / "lycheepath" / "__init__.pyc"
    package.write_bytes(b"not ours")
    assert "0.1.0" in _run(binary, tmp_path, "--version")


def test_binary_loads_what_a_host_needs(binary: Path, tmp_path: Path) -> None:
    """Garbage settings are read by the host's own modules, one process in all."""
    settings = tmp_path / "host.json"
    settings.write_text("{}")
    unpack = tmp_path / "unpack"
    unpack.mkdir()
    answer = _start(binary, unpack, "serve", "--settings", str(settings))
    assert answer.returncode == 2
    assert "platform is missing" in answer.stderr


def _run(binary: Path, folder: Path, *arguments: str) -> str:
    answer = _start(binary, folder, *arguments)
    assert answer.returncode == 0, answer.stderr
    return answer.stdout


def _start(
    binary: Path, folder: Path, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Run the binary without the installed packages."""
    return subprocess.run(
        [sys.executable, "-S", "-E", str(binary), *arguments],
        env={"LYCHEEPATH_UNPACK_FOLDER": str(folder), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
