"""
A host whose links can be cut: ``python -m standins.cut_host SETTINGS CUTS``.

CUTS is a file with a JSON list of addresses (``IP:port``) that the process
can't reach; it is re-read when it changes. A cut in both directions needs an
entry in both processes' files, a one-way cut only in the sender's.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

from lycheepath.host.process import run_host
from lycheepath.host.settings import Settings
from lycheepath.host.settings_reader import read_settings


class CutLinks:
    """The addresses that are unreachable now, as listed in a file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = -1
        self._cut: frozenset[str] = frozenset()

    def may_reach(self, address: str) -> bool:
        """Whether an address may be reached."""
        stamp = self._path.stat().st_mtime_ns
        if stamp != self._stamp:
            self._cut = frozenset(json.loads(self._path.read_text()))
            self._stamp = stamp
        return address not in self._cut


def main() -> None:
    """Run the host."""
    settings = read_settings(Path(sys.argv[1]).read_text())
    if not isinstance(settings, Settings):
        raise SystemExit("\n".join(item.describe() for item in settings.items))
    run_host(settings, CutLinks(Path(sys.argv[2])).may_reach)


if __name__ == "__main__":
    main()
