from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings, strategies


@pytest.fixture(scope="session", autouse=True)
def character_tables() -> None:
    """
    Have Hypothesis write its tables of characters before any test.

    In a clean checkout that takes seconds, which would count as slow input of
    the first test that draws a text.
    """

    @settings(max_examples=1, deadline=None, suppress_health_check=list(HealthCheck))
    @given(strategies.text(min_size=1))
    def draw_text(text: str) -> None:
        assert text

    draw_text()
