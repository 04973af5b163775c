"""
A host under the profiler: ``python -m bench.profiled_host serve --settings FILE``.

When the host ends, the profile is in ``FILE.profile``.
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
