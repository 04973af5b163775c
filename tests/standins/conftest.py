from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from standins.fleet import Fleet, open_fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path) as opened:
        yield opened
