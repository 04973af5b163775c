"""
Runs a gateway from a checkout, with the packages of ``target/deps``.

It does what ``lycheepath gateway`` does without the command line's libraries,
whose import takes a third of a gateway's start.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lycheepath.gateway.start import StartError, start_gateway

if __name__ == "__main__":
    try:
        start_gateway("")
    except StartError as error:
        raise SystemExit(f"lycheepath gateway: {error}") from error
