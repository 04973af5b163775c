from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from standins.site import Site

if TYPE_CHECKING:
    import trio


@pytest.fixture
async def site(nursery: trio.Nursery) -> Site:
    return await Site.open(nursery)
