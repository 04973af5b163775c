"""
Restores the store from an older copy, again and again.

What was written since the copy is lost, and written again by its writers: the operator's
entries first, those of targets within ``WRITTEN_AGAIN_S``.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import orjson
import trio

from .evidence import AppliedFault

if TYPE_CHECKING:
    from standins.store import FakeStore

    from .run import Run

RESTORE = "restore-store"
# Time from the end of a restore until the next copy is made.
INTERVAL_S = (2.0, 6.0)
# Age of the copy that the store comes back from, and the time for which it is away.
COPY_AGE_S = (0.5, 5.0)
AWAY_S = (0.2, 1.2)
# Time within which targets have written their entries again.
WRITTEN_AGAIN_S = 2.0


async def restore_store(run: Run) -> None:
    """Restore the store now and then, until the faults are off."""
    draw = random.Random(f"restore/{run.seed}")
    store = run.fleet.store
    while not run.fleet.faults_off_file.exists():
        await trio.sleep(draw.uniform(*INTERVAL_S))
        copy = store.make_copy()
        await trio.sleep(draw.uniform(*COPY_AGE_S))
        since = time.monotonic()
        store.failing = 503
        await trio.sleep(draw.uniform(*AWAY_S))
        lost = dict(store.items)
        store.restore(copy)
        store.failing = 0
        await _write_again(store, lost, draw)
        fault = AppliedFault(RESTORE, "store", since, time.monotonic())
        run.applied_faults.append(fault)


async def _write_again(
    store: FakeStore, lost: dict[str, tuple[bytes, int]], draw: random.Random
) -> None:
    restored = dict(store.items)
    keys = [
        key
        for key in sorted(lost.keys() | restored.keys())
        if restored.get(key, (b"", 0))[0] != lost.get(key, (b"", 0))[0]
    ]
    keys.sort(key=lambda key: not key.startswith("op/"))
    for key in keys:
        if not key.startswith("op/"):
            await trio.sleep(draw.uniform(0.0, WRITTEN_AGAIN_S / len(keys)))
        if store.items.get(key) != restored.get(key):
            # Its writer has written it since.
            continue
        if key in lost:
            store.put(key, _renew(key, lost[key][0]))
        else:
            store.remove(key)


def _renew(key: str, data: bytes) -> object:
    """Return what a writer writes again: targets count their announcements."""
    if not key.startswith("servers/"):
        return data
    try:
        value = orjson.loads(data)
        return value | {"seq": value["seq"] + 1}
    except (ValueError, TypeError, KeyError):
        return data
