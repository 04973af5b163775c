"""
Copies the package and what it needs at run time into one folder.

The files come from the running virtual environment, whose versions are
locked, so that building needs no network. Run
``python -m binary.stage FOLDER``.
"""

from __future__ import annotations

import re
import shutil
import sys
import tomllib
from importlib.metadata import Distribution, PackageNotFoundError, distribution
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "src" / "lycheepath"
SKIPPED = shutil.ignore_patterns("__pycache__", "*.pyc")
HEADER_SUFFIXES = frozenset({".h", ".c++", ".cpp", ".pxd", ".pyx", ".pyi"})

BUILD_ONLY = frozenset({"pbr", "setuptools"})

_NAME = re.compile(r"[A-Za-z0-9._-]+")
_EXTRA = re.compile(r"extra\s*==")


def stage_package(folder: Path) -> tuple[str, ...]:
    """
    Fill ``folder`` anew and return the names of the distributions copied.

    Raises PackageNotFoundError when a dependency is not installed.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    shutil.copytree(PACKAGE, folder / "lycheepath", ignore=SKIPPED)
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
    names = _list_needed(project["dependencies"])
    for name in names:
        _copy_distribution(distribution(name), folder)
    return names


def _list_needed(requirements: list[str]) -> tuple[str, ...]:
    """Return the names of all distributions that the requirements lead to."""
    waiting = [_read_name(requirement) for requirement in requirements]
    found: set[str] = set()
    while waiting:
        name = waiting.pop()
        if name in found or name in BUILD_ONLY:
            continue
        try:
            needed = distribution(name).requires or []
        except PackageNotFoundError:
            if name in map(_read_name, requirements):
                raise
            continue
        found.add(name)
        waiting += [_read_name(item) for item in needed if not _EXTRA.search(item)]
    return tuple(sorted(found))


def _read_name(requirement: str) -> str:
    match = _NAME.match(requirement)
    if match is None:
        raise ValueError(f"{requirement!r} is no requirement")
    return match[0].lower().replace("_", "-")


def _copy_distribution(source: Distribution, folder: Path) -> None:
    for file in source.files or ():
        if ".." in file.parts or file.suffix in (".pyc", *HEADER_SUFFIXES):
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(source.locate_file(file)), target)


if __name__ == "__main__":
    print(*stage_package(Path(sys.argv[1])))
