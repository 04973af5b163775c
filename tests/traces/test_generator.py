from __future__ import annotations

import pytest

from traces.deployments import DEPLOYMENTS
from traces.generator import RECORDED_FOLDER, SCENARIOS, synthesise
from traces.trace import read_trace


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_generator_gives_the_recorded_traces(deployment: str, scenario: str) -> None:
    recorded = read_trace(RECORDED_FOLDER / f"{deployment}-{scenario}.csv.gz")
    assert synthesise(DEPLOYMENTS[deployment], scenario, recorded.seed) == recorded
