"""
The entry point of the binary: sets up the imports and runs the command line.

Pure Python modules are imported from the binary itself. Extension modules can
only be loaded from files, so the packages that contain them are unpacked once to
a folder named after the digest of the binary's content. Writes no other files
and starts no processes.
"""

from __future__ import annotations

import os
import stat
import sys
import tempfile
import zipfile
from pathlib import Path

UNPACK_FOLDER_VARIABLE = "LYCHEEPATH_UNPACK_FOLDER"
NATIVE_PREFIX = "native/"
DIGEST_MEMBER = "digest"
PRIVATE_MODE = 0o700


def unpack_native(binary: str) -> Path:
    """Unpack the native packages unless they are there; return their folder."""
    parent = Path(os.environ.get(UNPACK_FOLDER_VARIABLE) or tempfile.gettempdir())
    with zipfile.ZipFile(binary) as archive:
        digest = archive.read(DIGEST_MEMBER).decode()
        folder = parent / f"lycheepath-{os.getuid()}-{digest}"
        if not _is_trusted(folder):
            folder = _unpack_members(archive, folder)
    return folder / NATIVE_PREFIX


def _is_trusted(folder: Path) -> bool:
    """Return whether the folder exists and only this user can write to it."""
    try:
        status = folder.lstat()
    except FileNotFoundError:
        return False
    private = stat.S_IMODE(status.st_mode) == PRIVATE_MODE
    return stat.S_ISDIR(status.st_mode) and status.st_uid == os.getuid() and private


def _unpack_members(archive: zipfile.ZipFile, folder: Path) -> Path:
    """
    Unpack the native packages and return the folder that contains them.

    The files are written to a temporary folder, which is then renamed, so that
    no other process sees a partially written one. If the name is taken, the files
    stay in the temporary folder.
    """
    partial = Path(tempfile.mkdtemp(prefix=folder.name, dir=folder.parent))
    members = [name for name in archive.namelist() if name.startswith(NATIVE_PREFIX)]
    archive.extractall(partial, members)
    try:
        partial.rename(folder)
    except OSError:
        return partial
    return folder


def main() -> int:
    """Run the command line."""
    sys.path.insert(0, str(unpack_native(sys.argv[0])))
    from lycheepath.console.application import main as run

    return run()


if __name__ == "__main__":
    raise SystemExit(main())
