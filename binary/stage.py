"""
Copies the package and its runtime dependencies into one folder.

The files come from the current virtual environment, whose versions are locked,
so that the build needs no network access. Run ``python -m binary.stage FOLDER``.
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
IGNORED_FILES = shutil.ignore_patterns("__pycache__", "*.pyc")
HEADER_SUFFIXES = frozenset({".h", ".c++", ".cpp", ".pxd", ".pyx", ".pyi"})

BUILD_ONLY = frozenset({"pbr", "setuptools"})

_NAME = re.compile(r"[A-Za-z0-9._-]+")
_EXTRA = re.compile(r"extra\s*==")


def stage_package(folder: Path) -> tuple[str, ...]:
    """
    Replace the content of ``folder``; return the names of copied distributions.

    Raises PackageNotFoundError when a dependency is not installed.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    shutil.copytree(PACKAGE, folder / "lycheepath", ignore=IGNORED_FILES)
    project = tomllib.loads((ROOT / "pyproject.toml").read_text("utf-8"))["project"]
    names = _resolve_dependencies(project["dependencies"])
    for name in names:
        _copy_distribution(distribution(name), folder)
    return names


def _resolve_dependencies(requirements: list[str]) -> tuple[str, ...]:
    """Return the names of all direct and transitive dependencies, sorted."""
    pending = [_read_name(requirement) for requirement in requirements]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found or name in BUILD_ONLY:
            continue
        try:
            dependencies = distribution(name).requires or []
        except PackageNotFoundError:
            if name in map(_read_name, requirements):
                raise
            continue
        found.add(name)
        pending += [
            _read_name(item) for item in dependencies if not _EXTRA.search(item)
        ]
    return tuple(sorted(found))


def _read_name(requirement: str) -> str:
    match = _NAME.match(requirement)
    if match is None:
        raise ValueError(f"{requirement!r} is not a valid requirement")
    return match[0].lower().replace("_", "-")


def _copy_distribution(source: Distribution, folder: Path) -> None:
    for file in source.files or ():
        if ".." in file.parts or file.suffix in (".pyc", *HEADER_SUFFIXES):
            continue
        destination = folder / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(str(source.locate_file(file)), destination)


if __name__ == "__main__":
    print(*stage_package(Path(sys.argv[1])))
