"""
Builds the one-file binary: a zip that Python runs.

Run ``python -m binary.build build/lycheepath`` in the locked virtual
environment; no network is needed. Modules are stored compiled.
"""

from __future__ import annotations

import compileall
import hashlib
import sys
import tempfile
import zipfile
from pathlib import Path
from py_compile import PycInvalidationMode
from typing import BinaryIO

from .launcher import DIGEST_MEMBER, NATIVE_PREFIX
from .stage import stage_package

SHEBANG = b"#!/usr/bin/env python3.11\n"
LAUNCHER = Path(__file__).with_name("launcher.py")
UNPACKED = frozenset({"lycheepath"})
EPOCH = (1980, 1, 1, 0, 0, 0)


def build_binary(target: Path) -> None:
    """Write the binary; equal inputs give equal bytes."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        stage_package(folder)
        compileall.compile_dir(
            folder,
            quiet=1,
            legacy=True,
            stripdir=name,
            invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
        )
        members = _name_members(folder)
        members["__main__.py"] = LAUNCHER.read_bytes()
        members[DIGEST_MEMBER] = _digest_members(members).encode()
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as file:
        file.write(SHEBANG)
        _write_archive(file, members)
    target.chmod(0o755)


def _name_members(folder: Path) -> dict[str, bytes]:
    """Return the members; packages with extension modules go under a prefix."""
    native = {path.relative_to(folder).parts[0] for path in folder.rglob("*.so")}
    members: dict[str, bytes] = {}
    for path in sorted(folder.rglob("*")):
        relative = path.relative_to(folder)
        prefix = NATIVE_PREFIX if relative.parts[0] in native | UNPACKED else ""
        if "__pycache__" in relative.parts or _is_compiled(path):
            continue
        # Packages without __init__ are found by their folder's own entry.
        ending = "/" if path.is_dir() else ""
        content = b"" if path.is_dir() else path.read_bytes()
        members[f"{prefix}{relative}{ending}"] = content
    return members


def _is_compiled(path: Path) -> bool:
    return path.suffix == ".py" and path.with_suffix(".pyc").exists()


def _digest_members(members: dict[str, bytes]) -> str:
    digest = hashlib.sha256()
    for name, content in members.items():
        digest.update(f"{name}\n{len(content)}\n".encode())
        digest.update(content)
    return digest.hexdigest()[:16]


def _write_archive(file: BinaryIO, members: dict[str, bytes]) -> None:
    with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
        for name, content in members.items():
            info = zipfile.ZipInfo(name, EPOCH)
            info.compress_type = zipfile.ZIP_DEFLATED
            info.external_attr = 0o644 << 16
            archive.writestr(info, content)


if __name__ == "__main__":
    build_binary(Path(sys.argv[1]))
