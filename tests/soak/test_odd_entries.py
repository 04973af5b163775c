from __future__ import annotations

import json
import random

from soak.odd_entries import DEPTH, NO_JSON, draw_odd_entry


def test_odd_entries_are_nested_huge_out_of_range_or_no_json() -> None:
    draw = random.Random(1)
    entries = [draw_odd_entry(draw, n, ("plain",)) for n in range(200)]
    assert len({key for key, _ in entries}) == len(entries)
    written = {data for _, data in entries}
    assert written >= set(NO_JSON)
    assert any(b'{"a":' * DEPTH in data for data in written)
    assert any(b"127.0.0.1:70000" in data for data in written)
    assert any(json.loads(d)["slots"] == 1e300 for d in written if b'"slots": 1e3' in d)
