"""How much a team may ask of the environment, and who waits when all ask."""

from __future__ import annotations
