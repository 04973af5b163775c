"""
The first module of the binary: makes its parts importable and runs the command.

Pure Python modules are imported from the binary itself. Extension modules can
only be loaded from files, so the packages that hold them are unpacked once to a
folder named after the binary's content. Nothing else is written, and no other
process is started.
"""

from __future__ import annotations

import os
import stat
import sys
import tempfile
import zipfile
from pathlib import Path

FOLDER_VARIABLE = "LYCHEEPATH_UNPACK_FOLDER"
NATIVE_PREFIX = "native/"
DIGEST_MEMBER = "digest"
PRIVATE_MODE = 0o700


def unpack_native(binary: str) -> Path:
    """Return the folder of the unpacked packages, unpacking them if needed."""
    parent = Path(os.environ.get(FOLDER_VARIABLE) or tempfile.gettempdir())
    with zipfile.ZipFile(binary) as archive:
        digest = archive.read(DIGEST_MEMBER).decode()
        folder = parent / f"lycheepath-{os.getuid()}-{digest}"
        if not _is_own(folder):
            folder = _unpack_members(archive, folder)
    return folder / NATIVE_PREFIX


def _is_own(folder: Path) -> bool:
    """Tell whether the folder is there and nobody else can have filled it."""
    try:
        status = folder.lstat()
    except FileNotFoundError:
        return False
    private = stat.S_IMODE(status.st_mode) == PRIVATE_MODE
    return stat.S_ISDIR(status.st_mode) and status.st_uid == os.getuid() and private


def _unpack_members(archive: zipfile.ZipFile, folder: Path) -> Path:
    """
    Unpack and return where to.

    The files are written beside the folder, which is then renamed, so that no
    other process sees it half done. Where the name is taken, the files stay
    under their temporary name.
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
