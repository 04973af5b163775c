from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings, strategies


@pytest.fixture(scope="session", autouse=True)
def build_character_tables() -> None:
    """
    Create the Hypothesis character tables before the first test.

    This takes seconds in a clean checkout and would otherwise fail the health
    check for slow data generation of the first test that draws text.
    """

    @settings(max_examples=1, deadline=None, suppress_health_check=list(HealthCheck))
    @given(strategies.text(min_size=1))
    def draw_text(text: str) -> None:
        assert text

    draw_text()
