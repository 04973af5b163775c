"""
Asks a gateway where a request would go, and prints the answer.

The page is on the gateway's metrics address, which needs no key.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from cleo.helpers import option

from ..gateway.explanations import EXPLAIN_PATH
from ..platform.settings import METRICS_PORT
from .documents import print_text
from .operator_pages import PageProblem, fetch_open_page

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cleo.commands.command import Command

WOULD_OPTIONS = (
    option(
        "would", "w", "Host name and path of a request that isn't sent.", flag=False
    ),
    option("team", None, "The team whose key it would carry.", flag=False),
    option("prompt", None, "Tokens of its prompt.", flag=False),
    option("answer", None, "Largest number of tokens of its answer.", flag=False),
    option(
        "part",
        None,
        "A shared part of its prompt as NAME:TOKENS, in order.",
        flag=False,
        multiple=True,
    ),
    option("time-ms", None, "Time that its caller allows, in ms.", flag=False),
    option("json", None, "Print the answer as JSON."),
)
COLUMNS = (
    "target",
    "region",
    "cost_s",
    "first_event_s",
    "queued_work_s",
    "cached_tokens",
    "in_flight",
    "slots",
    "state",
)


def write_query(
    route: str, fields: Iterable[tuple[str, str]], parts: Iterable[str]
) -> str:
    """
    Return the query for the page; empty fields are left out.

    ``route`` is a host name and a path, ``parts`` are shared parts of the prompt.
    """
    host, slash, path = route.removeprefix("http://").partition("/")
    named = [("host", host), ("path", slash + path), *fields]
    named += [("part", part) for part in parts]
    return urlencode([field for field in named if field[1]])


def print_placement(command: Command, host: str) -> int:
    """Ask a gateway and print its answer; return 1 if it can't tell."""
    address = host if ":" in host else f"{host}:{METRICS_PORT}"
    names = ("team", "prompt", "answer", "time-ms")
    fields = [
        (name.replace("-", "_"), str(command.option(name) or "")) for name in names
    ]
    query = write_query(str(command.option("would")), fields, command.option("part"))
    page = fetch_open_page(address, f"{EXPLAIN_PATH.decode()}?{query}")
    if isinstance(page, PageProblem):
        command.line_error(page.message)
        return 1
    if command.option("json") or not isinstance(page, dict):
        print_text(command, json.dumps(page, indent=2))
        return 0
    for line in describe_placement(page):
        print_text(command, line)
    return 0


def describe_placement(page: dict[str, Any]) -> list[str]:
    """Return the lines for people on the page of one question."""
    homes = ", ".join(page["home_regions"]) or "any"
    lines = [
        f"route {page['route']}, team {page['team'] or 'none'}, configuration"
        f" {page['configuration']}, priority {page['priority']}, home regions: {homes}"
    ]
    if page.get("proof_age_s") is not None:
        lines.append(f"configuration proven recent {page['proof_age_s']:.2f} s ago")
    if page["limit"]:
        lines.append(_describe_limit(page["limit"]))
    if page["refused"]:
        lines.append(f"refused: {page['refused']}")
    for decision in page["decisions"]:
        lines += _describe_decision(decision)
    return lines + [f"note: {note}" for note in page["notes"]]


def _describe_limit(limit: dict[str, Any]) -> str:
    left = limit["left"]
    known = "not known at this host" if left is None else f"{left:g} at this host"
    share = limit.get("region_share")
    region = "" if share is None else f"; the region has {share:.0%} of the limit"
    return (
        f"limit {limit['rate_per_s']:g} {limit['unit']} a second, burst"
        f" {limit['burst']:g}; the request costs {limit['cost']:g}, left: {known}{region}"
    )


def _describe_decision(decision: dict[str, Any]) -> list[str]:
    what = f"service {decision['service']} ({decision['share']:.0%} of requests): "
    if decision["outcome"] == "placed":
        what += f"{decision['target']} in {decision['region']}, {decision['why']}"
    else:
        what += f"refused, {decision['why']}"
        if decision["retry_after_s"]:
            what += f"; retry after {decision['retry_after_s']:.2f} s"
    rows = [
        [_write_cell(row[name]) for name in COLUMNS] for row in decision["compared"]
    ]
    lines = [what, *_align([list(COLUMNS), *rows])] if rows else [what]
    counts = decision["excluded_counts"] or {}
    listed = decision["excluded"]
    for reason, count in sorted(counts.items()):
        names = [row["target"] for row in listed if row["reason"] == reason]
        lines.append(
            f"  excluded, {reason}: {count} ({', '.join(names) or 'not listed'})"
        )
    return lines


def _align(rows: Sequence[Sequence[str]]) -> Iterable[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  " + "  ".join(cells).rstrip()


def _write_cell(value: object) -> str:
    return "-" if value is None else str(value)
