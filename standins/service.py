"""
A plain service whose calls may not be repeated; it counts executions.

With ``--record FILE`` each execution is appended to a file, so that the count
survives a process that crashes after executing.
"""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from .process import add_control, build_parser, drop_connection, json_response, run

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
EXIT_AFTER_EXECUTING = 70


@dataclass(slots=True)
class Ledger:
    """The executions of the service, and its ``/control`` settings."""

    slots: int = 16
    record: Path | None = None
    executions: Counter[str] = field(default_factory=Counter)
    running: int = 0
    control: dict[str, Any] = field(
        default_factory=lambda: {
            "delay_ms": 0,
            "delay_before_ms": 0,
            "fail_status": 0,
            "drop_answers": False,
            "die_after_executing": False,
            "state": "live",
        }
    )

    def load(self) -> None:
        """Load the executions that an earlier process recorded."""
        if self.record is not None and self.record.exists():
            self.executions.update(self.record.read_text().splitlines())

    def execute(self, action: str) -> int:
        """Count one execution of ``action`` and return its total."""
        self.executions[action] += 1
        if self.record is not None:
            with self.record.open("a") as record:
                record.write(action + "\n")
        return self.executions[action]


def build_app(ledger: Ledger) -> QuartTrio:
    """Return the application that serves ``ledger``."""
    app = QuartTrio(__name__)
    add_control(app, ledger.control)

    @app.get("/v1/load")
    async def load() -> Response:
        return json_response(
            {
                "running": ledger.running,
                "slots": ledger.slots,
                "state": ledger.control["state"],
            }
        )

    @app.get("/control/executions")
    async def executions() -> Response:
        return json_response(dict(ledger.executions))

    @app.route("/", defaults={"path": ""}, methods=METHODS)
    @app.route("/<path:path>", methods=METHODS)
    async def call(path: str) -> Response:
        await request.get_data()
        ledger.running += 1
        try:
            return await _run_action(ledger, path)
        finally:
            ledger.running -= 1

    return app


async def _run_action(ledger: Ledger, path: str) -> Response:
    control = ledger.control
    await trio.sleep(control["delay_before_ms"] / 1000)
    if control["fail_status"]:
        return json_response({"error": "told to fail"}, int(control["fail_status"]))
    action = _read_action(path)
    execution = ledger.execute(action)
    if control["die_after_executing"]:
        os._exit(EXIT_AFTER_EXECUTING)
    await trio.sleep(control["delay_ms"] / 1000)
    if control["drop_answers"]:
        return drop_connection()
    return json_response(
        {
            "path": "/" + path,
            "method": request.method,
            "action": action,
            "execution": execution,
        }
    )


def _read_action(path: str) -> str:
    headers = request.headers
    named = headers.get("X-Action") or headers.get("Idempotency-Key")
    return named or f"{request.method} /{path}"


def main() -> None:
    """Run the service stand-in."""
    parser = build_parser("Plain service stand-in.")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--record", type=Path)
    options = parser.parse_args()
    ledger = Ledger(options.slots, options.record)
    ledger.load()
    run(build_app(ledger), options.port)


if __name__ == "__main__":
    main()
