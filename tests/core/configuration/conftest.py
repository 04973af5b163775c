from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

TRIAL = Path(__file__).parents[3] / "environments" / "trial.json"


@pytest.fixture
def write_document() -> Callable[..., bytes]:
    """Return a writer of the trial document with members replaced."""
    document = json.loads(TRIAL.read_text(encoding="utf-8"))

    def write(revision: int, **members: object) -> bytes:
        return json.dumps(document | {"revision": revision} | members).encode()

    return write
