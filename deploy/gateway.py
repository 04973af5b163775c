"""
Runs a gateway from a checkout, with the packages of ``target/deps``.

It does the same as ``lycheepath gateway``, without the libraries of the command line,
whose import takes a third of a gateway's start-up time.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

if __name__ == "__main__":
    # The settings are read after the imports, so a reload signal that arrives before
    # can be ignored: the current settings are read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lycheepath.gateway.start import StartError, start_gateway

    try:
        start_gateway("")
    except StartError as error:
        raise SystemExit(f"lycheepath gateway: {error}") from error
