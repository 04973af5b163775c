"""Assembly of complete, ordered answers from the streams of several targets."""

from __future__ import annotations
