"""A demonstration of a whole deployment under load and failures."""

from __future__ import annotations
