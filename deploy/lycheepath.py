"""Runs the command line from a checkout, with the packages of ``target/deps``."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lycheepath.console.application import main

if __name__ == "__main__":
    raise SystemExit(main())
