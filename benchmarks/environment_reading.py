"""
Measures the size of environment documents and the time to parse them.

Run ``python -m benchmarks.environment_reading``. Prints one line per fleet:
hosts, runners, teams, bytes of the plain and of the canonical document, and the
best and median CPU time of parsing in milliseconds.
"""

from __future__ import annotations

import json
import statistics
import time
from dataclasses import dataclass

from lycheepath.core.environment import json_text
from lycheepath.core.environment.findings import Findings
from lycheepath.core.environment.reading import read_environment, write_environment

REPEATS = 7
SERVICE_TARGETS_SHARE = 20


@dataclass(frozen=True, slots=True)
class Fleet:
    """The number of records of each kind in a document."""

    hosts: int
    runners: int
    teams: int
    regions: int = 10
    zones: int = 23
    models: int = 30


FLEETS = (
    Fleet(9, 9, 5, regions=3, zones=9, models=2),
    Fleet(220, 680, 340),
    Fleet(550, 1_700, 850),
    Fleet(1_100, 3_400, 1_700),
    Fleet(2_200, 6_800, 3_400),
)


def build_document(fleet: Fleet) -> dict[str, object]:
    """Return the document of a fleet with every record written in full."""
    zones = [f"z{index:02}" for index in range(fleet.zones)]
    models = [f"model-{index:02}" for index in range(fleet.models)]
    return {
        "name": "fleet",
        "revision": 1,
        "stage": "production",
        "regions": [{"id": f"r{index}"} for index in range(fleet.regions)],
        "zones": [
            {"id": zone, "region": f"r{index % fleet.regions}"}
            for index, zone in enumerate(zones)
        ],
        "hosts": [
            {
                "id": f"h{index:04}",
                "zone": zones[index % fleet.zones],
                "callers_address": f"10.{index // 200}.{index % 200}.1:8080",
                "peers_address": f"10.{index // 200}.{index % 200}.1:9080",
            }
            for index in range(fleet.hosts)
        ],
        "targets": [
            {
                "id": f"t{index:04}",
                "zone": zones[index % fleet.zones],
                "address": f"10.{100 + index // 200}.{index % 200}.1:8000",
                "kind": "runner",
                "models": [models[index % fleet.models]],
                "accelerators": 8,
            }
            for index in range(fleet.runners)
        ],
        "models": [{"id": model, "weights_bytes": 10**10} for model in models],
        "limits": [
            {"team": f"team-{index:04}", "tokens_per_s": 8000, "burst_tokens": 40000}
            for index in range(fleet.teams)
        ],
    }


def measure_parsing_ms(text: bytes) -> list[float]:
    """Return the CPU times of parsing ``REPEATS`` times in milliseconds."""
    times_ms = []
    for _ in range(REPEATS):
        start = time.process_time()
        outcome = read_environment(text)
        times_ms.append((time.process_time() - start) * 1_000)
        if isinstance(outcome, Findings):
            raise AssertionError(outcome.items[0].describe())
    return times_ms


def main() -> None:
    """Measure each fleet and print the table."""
    json_text.MAX_DOCUMENT_BYTES = 10_000_000
    print("hosts runners teams  plain_bytes canonical_bytes best_ms median_ms")
    for fleet in FLEETS:
        text = json.dumps(build_document(fleet), separators=(",", ":")).encode()
        times_ms = measure_parsing_ms(text)
        outcome = read_environment(text)
        assert not isinstance(outcome, Findings)
        print(
            f"{fleet.hosts:5} {fleet.runners:7} {fleet.teams:5} {len(text):12}"
            f" {len(write_environment(outcome)):15} {min(times_ms):7.1f}"
            f" {statistics.median(times_ms):9.1f}"
        )


if __name__ == "__main__":
    main()
