from __future__ import annotations

import json
from pathlib import Path

import pytest

ENVIRONMENTS = Path(__file__).parents[3] / "environments"


@pytest.fixture
def document() -> dict[str, object]:
    """The ready document of the bridal deployment, to be edited by a test."""
    loaded: dict[str, object] = json.loads(
        (ENVIRONMENTS / "bridal.json").read_text(encoding="utf-8")
    )
    return loaded
