"""The command line: parses arguments, calls the library and prints."""

from __future__ import annotations
