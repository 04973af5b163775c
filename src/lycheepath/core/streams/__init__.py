"""Assembly of streamed answers, whole and in order, over several targets."""

from __future__ import annotations
