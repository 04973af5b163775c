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
    output = tmp_path_factory.mktemp("binary") / "lycheepath"
    build_binary(output)
    return output


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


def test_binary_ignores_an_unpack_folder_that_others_can_write(
    binary: Path, tmp_path: Path
) -> None:
    _run(binary, tmp_path, "--version")
    (unpacked,) = tmp_path.iterdir()
    unpacked.chmod(0o777)
    package = unpacked / "native" / "lycheepath" / "__init__.pyc"
    package.write_bytes(b"not ours")
    assert "0.1.0" in _run(binary, tmp_path, "--version")


def test_binary_imports_the_modules_of_a_host(binary: Path, tmp_path: Path) -> None:
    """Empty settings are rejected by the host's modules, imported in one process."""
    settings = tmp_path / "host.json"
    settings.write_text("{}")
    unpack = tmp_path / "unpack"
    unpack.mkdir()
    completed = _start(binary, unpack, "serve", "--settings", str(settings))
    assert completed.returncode == 2
    assert "platform is missing" in completed.stderr


def _run(binary: Path, folder: Path, *arguments: str) -> str:
    completed = _start(binary, folder, *arguments)
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


def _start(
    binary: Path, folder: Path, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Run the binary without site-packages, so that it uses its own packages only."""
    return subprocess.run(
        [sys.executable, "-S", "-E", str(binary), *arguments],
        env={"LYCHEEPATH_UNPACK_FOLDER": str(folder), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
