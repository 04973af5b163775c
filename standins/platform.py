"""
The platform: configuration service, host list and directory of clients.

Readers get named values with a revision and may watch for the next one.
Operators publish through ``/control``, which also makes the service
unavailable, stale or slow.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from .process import add_control, build_parser, drop_connection, json_response, run

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 300.0
# Interval at which a watch checks for a value that ``hosts_lag_s`` has held back.
LAG_POLL_S = 0.05
HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Published:
    """One revision of a value and when it was published, in seconds."""

    revision: Any
    value: Any
    at: float


@dataclass(slots=True)
class Store:
    """The published values, and which of them are visible to readers."""

    history: dict[str, list[Published]] = field(default_factory=dict)
    frozen: dict[str, Published] | None = None
    changed: trio.Event = field(default_factory=trio.Event)
    calls: Counter[str] = field(default_factory=Counter)
    watching: Counter[str] = field(default_factory=Counter)
    control: dict[str, Any] = field(
        default_factory=lambda: {
            "down": False,
            "close": False,
            "stale": False,
            "delay_ms": 0,
            "hosts_lag_s": 0,
        }
    )

    def publish(self, name: str, revision: Any, value: Any) -> None:
        """Store the next revision and wake the watches."""
        published = Published(revision, value, trio.current_time())
        self.history.setdefault(name, []).append(published)
        self.wake()

    def wake(self) -> None:
        """Wake every watch to check its value again."""
        self._update_frozen()
        self.changed.set()
        self.changed = trio.Event()

    def show(self, name: str) -> Published | None:
        """Return the revision of ``name`` that is visible to readers now."""
        if self.frozen is not None:
            return self.frozen.get(name)
        return self._visible(name)

    def _visible(self, name: str) -> Published | None:
        lag_s = float(self.control["hosts_lag_s"]) if name == HOSTS else 0.0
        newest_at = trio.current_time() - lag_s
        versions = self.history.get(name, [])
        for published in reversed(versions):
            if published.at <= newest_at:
                return published
        return versions[0] if versions else None

    def _update_frozen(self) -> None:
        if not self.control["stale"]:
            self.frozen = None
            return
        if self.frozen is None:
            seen = {name: self._visible(name) for name in self.history}
            self.frozen = {name: value for name, value in seen.items() if value}


def build_app(store: Store) -> QuartTrio:
    """Return the application that serves ``store``."""
    app = QuartTrio(__name__)
    add_control(app, store.control, store.wake)

    @app.get("/v1/values/<path:name>")
    async def read(name: str) -> Response:
        store.calls[name] += 1
        await trio.sleep(store.control["delay_ms"] / 1000)
        if "after" not in request.args:
            return _answer(store, name)
        wait_s = min(float(request.args.get("wait_s", 30)), MAX_WATCH_S)
        return await _watch(store, name, request.args["after"], wait_s)

    @app.put("/control/values/<path:name>")
    async def publish(name: str) -> Response:
        body = await request.get_json(force=True)
        if not isinstance(body, dict) or not {"revision", "value"} <= set(body):
            return json_response({"error": "send revision and value"}, 400)
        if len(json.dumps(body["value"])) > MAX_VALUE_BYTES:
            return json_response({"error": "a value holds 1 MB at most"}, 413)
        store.publish(name, body["revision"], body["value"])
        return json_response({"name": name, "revision": body["revision"]})

    @app.get("/control/counts")
    async def counts() -> Response:
        return json_response(
            {
                "calls": store.calls.total(),
                "watches": store.watching.total(),
                "by_name": dict(store.calls),
                "watches_by_name": {n: c for n, c in store.watching.items() if c},
            }
        )

    return app


async def _watch(store: Store, name: str, after: str, wait_s: float) -> Response:
    store.watching[name] += 1
    try:
        with trio.move_on_after(wait_s):
            while not _differs(store, name, after):
                await _wait_for_change(store)
            return _answer(store, name)
    finally:
        store.watching[name] -= 1
    return Response("", 204)


async def _wait_for_change(store: Store) -> None:
    limit_s = LAG_POLL_S if store.control["hosts_lag_s"] else MAX_WATCH_S
    with trio.move_on_after(limit_s):
        await store.changed.wait()


def _differs(store: Store, name: str, after: str) -> bool:
    if store.control["down"]:
        return True
    published = store.show(name)
    return published is None or str(published.revision) != after


def _answer(store: Store, name: str) -> Response:
    if store.control["down"]:
        if store.control["close"]:
            return drop_connection()
        return json_response({"error": "down"}, 503, Retry_After="1")
    published = store.show(name)
    if published is None:
        return json_response({"error": "no such value"}, 404)
    return json_response(
        {"name": name, "revision": published.revision, "value": published.value}
    )


def main() -> None:
    """Run the platform stand-in."""
    options = build_parser("Platform stand-in.").parse_args()
    run(build_app(Store()), options.port)


if __name__ == "__main__":
    main()
