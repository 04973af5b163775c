from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import orjson

from standins.site import make_settings

if TYPE_CHECKING:
    from pathlib import Path

WITHIN_S = 20.0
# Runs a gateway that gets SIGTERM while its tasks are being started.
END_AT_START = """
import pathlib, signal, sys
from lycheepath.gateway import process
from lycheepath.platform.settings import read_settings

async def end(node, nursery):
    signal.raise_signal(signal.SIGTERM)

process.start_tasks = end
process.run_gateway(read_settings(pathlib.Path(sys.argv[1]).read_bytes()))
"""


def test_gateway_that_is_told_to_end_while_it_starts_ends_in_order(
    tmp_path: Path,
) -> None:
    settings = tmp_path / "settings.json"
    fields = make_settings("east-0", "127.0.0.1", "east-a", "127.0.0.1:1")
    fields["bounds"] = {"grace_s": 0.6}
    settings.write_bytes(orjson.dumps(fields))
    ended = subprocess.run(
        [sys.executable, "-c", END_AT_START, str(settings)],
        stdout=subprocess.PIPE,
        timeout=WITHIN_S,
        check=False,
    )

    assert ended.returncode == 0
    events = [orjson.loads(line)["event"] for line in ended.stdout.splitlines()]
    assert events == ["start", "leaving", "stop"]
