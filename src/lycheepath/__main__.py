"""Entry point of ``python -m lycheepath``."""

from __future__ import annotations

from .console.application import main

if __name__ == "__main__":
    raise SystemExit(main())
