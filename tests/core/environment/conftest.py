from __future__ import annotations

import json
from pathlib import Path

import pytest

ENVIRONMENTS = Path(__file__).parents[3] / "environments"


@pytest.fixture
def document() -> dict[str, object]:
    """Return the document of the bridal environment, for a test to edit."""
    loaded: dict[str, object] = json.loads(
        (ENVIRONMENTS / "bridal.json").read_text(encoding="utf-8")
    )
    return loaded
