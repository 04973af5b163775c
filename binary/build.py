"""
Builds the single-file binary: an executable zip archive that Python runs.

Run ``python -m binary.build build/lycheepath`` in the locked virtual
environment. Needs no network access. Modules are stored as bytecode.
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
ALWAYS_UNPACKED = frozenset({"lycheepath"})
ZIP_EPOCH = (1980, 1, 1, 0, 0, 0)


def build_binary(output: Path) -> None:
    """Write the binary to ``output``; equal inputs give equal bytes."""
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
    output.parent.mkdir(parents=True, exist_ok=True)
    with output.open("wb") as file:
        file.write(SHEBANG)
        _write_archive(file, members)
    output.chmod(0o755)


def _name_members(folder: Path) -> dict[str, bytes]:
    """Return the archive members by name, native packages under a prefix."""
    native = {path.relative_to(folder).parts[0] for path in folder.rglob("*.so")}
    members: dict[str, bytes] = {}
    for path in sorted(folder.rglob("*")):
        relative = path.relative_to(folder)
        prefix = NATIVE_PREFIX if relative.parts[0] in native | ALWAYS_UNPACKED else ""
        if "__pycache__" in relative.parts or _has_bytecode(path):
            continue
        # zipimport finds namespace packages by the entry of their directory.
        ending = "/" if path.is_dir() else ""
        content = b"" if path.is_dir() else path.read_bytes()
        members[f"{prefix}{relative}{ending}"] = content
    return members


def _has_bytecode(path: Path) -> bool:
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
            info = zipfile.ZipInfo(name, ZIP_EPOCH)
            info.compress_type = zipfile.ZIP_DEFLATED
            info.external_attr = 0o644 << 16
            archive.writestr(info, content)


if __name__ == "__main__":
    build_binary(Path(sys.argv[1]))
