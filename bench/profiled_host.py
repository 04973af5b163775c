"""
Runs a host with cProfile: ``python -m bench.profiled_host serve --settings FILE``.

Writes the profile to ``FILE.profile`` when the host exits.
"""

from __future__ import annotations

import cProfile
import sys

from lycheepath.console.application import main

if __name__ == "__main__":
    profiler = cProfile.Profile()
    profiler.enable()
    try:
        main()
    finally:
        profiler.disable()
        profiler.dump_stats(sys.argv[-1] + ".profile")
