"""A small stand-in for the platform's store."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import h11
import orjson
import trio

from .requests import read_request

# Interval at which a watch looks for changes.
POLL_S = 0.01


@dataclass
class FakeStore:
    """
    The platform's store; a nonzero ``failing`` is the status of all answers.

    It can be restored from a copy, which begins another ``era`` (0: answers state none).
    """

    address: str = ""
    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 1
    oldest: int = 0
    failing: int = 0
    fail_later_pages: bool = False
    page_items: int = 500
    era: int = 0

    def put(self, key: str, value: Any) -> None:
        """Write an item; bytes are stored unencoded."""
        self.revision += 1
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.items[key] = (data, self.revision)
        self.history.append(self._item(key))

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Discard the history."""
        self.oldest = self.revision
        self.history.clear()

    def make_copy(self) -> tuple[int, dict[str, tuple[bytes, int]]]:
        """Return a copy for ``restore``."""
        return self.revision, dict(self.items)

    def restore(self, copy: tuple[int, dict[str, tuple[bytes, int]]]) -> None:
        """Return to a copy; revisions since are given out again."""
        self.revision, self.items = copy[0], dict(copy[1])
        self.history = [h for h in self.history if h["revision"] <= self.revision]
        self.oldest = min(self.oldest, self.revision)
        self.era += 1

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            while (
                seen := await read_request(h11.Connection(h11.SERVER), stream)
            ) is not None:
                status, answer = await self._answer(seen.target)
                body = orjson.dumps(answer)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
                head += f"Store-Era: {self.era}\r\n\r\n" if self.era else "\r\n"
                await stream.send_all(head.encode() + body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, target: str) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        fields = parse_qs(query)
        if self.failing:
            return self.failing, {}
        if path.endswith("kv-key"):
            key = fields["key"][0]
            if key not in self.items:
                return 404, {}
            return 200, self._item(key) | {"as_of": self.revision}
        if path.endswith("kv-range"):
            return self._answer_page(fields.get("after", [""])[0])
        after = int(fields["after"][0])
        if not self.oldest <= after <= self.revision:
            return 410, {}
        era = self.era
        with trio.move_on_after(int(fields["wait_ms"][0]) / 1000.0):
            while self.revision <= after:
                await trio.sleep(POLL_S)
        if era != self.era:
            return 410, {}
        events = [event for event in self.history if event["revision"] > after]
        return 200, {"events": events, "as_of": self.revision}

    def _answer_page(self, after: str) -> tuple[int, Any]:
        keys = [key for key in sorted(self.items) if key > after]
        if after and self.fail_later_pages:
            return 503, {}
        page = keys[: self.page_items]
        more = len(keys) > len(page)
        items = [self._item(key) for key in page]
        return 200, {"items": items, "has_more": more, "as_of": self.revision}

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create_rev": revision,
            "lease": 0,
        }
